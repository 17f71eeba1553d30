// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// Views of the owned domains and what they hold of other domains.
#include "control/domain_views.h"
#include "policy/domain_forecast.h"
#include "support/times.h"

#include <catch2/catch.hpp>

namespace waycove::test {

namespace {

ServiceDomain llmIn(const std::string &Domain) {
  return {ServiceId("llm"), DomainId(Domain)};
}

} // namespace

/// A service with a large and a small model, all of whose domains this node
/// owns.
struct ViewsFixture {
  ViewsFixture() : Board(entrySettings(), IncarnationId("i")) {
    ServiceSpec Spec;
    Spec.Id = ServiceId("llm");
    Spec.Engine.emplace();
    for (auto [Name, Size] : {std::pair{"large", 4U}, std::pair{"small", 2U}}) {
      ModelSpec Model;
      Model.Name = Name;
      Model.GroupSize = Size;
      Spec.Engine->Models.push_back(Model);
    }
    this->Config.Services[Spec.Id] = Spec;
    for (std::uint64_t Partition = 0;
         Partition < this->Board.Config.Entry->PartitionCount; ++Partition)
      this->Assignment.Partitions.push_back(Partition);
  }
  static Settings entrySettings() {
    Settings Config;
    Config.Entry.emplace();
    return Config;
  }
  std::shared_ptr<TargetInfo> vm(const std::string &Domain,
                                 const std::string &Staged = "large") {
    auto Row = std::make_shared<TargetInfo>();
    Row->Id = VmId("vm" + std::to_string(++this->Vms));
    Row->Service = ServiceId("llm");
    Row->Domain = DomainId(Domain);
    Row->DataCentre = DataCentreId("c");
    Row->Staged = {Staged};
    return Row;
  }
  /// Adds a service with one model of three VMs.
  void addService(const std::string &Id) {
    ServiceSpec Spec;
    Spec.Id = ServiceId(Id);
    Spec.Engine.emplace();
    ModelSpec Model;
    Model.Name = "model of " + Id;
    Model.GroupSize = 3;
    Spec.Engine->Models.push_back(Model);
    this->Config.Services[Spec.Id] = Spec;
  }
  void list(const TargetRef &Row) {
    this->Board.Targets.write(
        [&](Fleet &Rows) { Rows.Targets[Row->Id] = Row; });
  }
  /// A group of \p Size members, of which \p Lost are missing.
  void group(const std::string &Domain, const std::string &Model, unsigned Size,
             unsigned Lost = 0) {
    GroupKey Key{groupName(Model, DomainId(Domain), 7), 7};
    for (unsigned Rank = Lost; Rank < Size; ++Rank) {
      auto Row = this->vm(Domain);
      Row->Group = Membership{
          Key, Rank, Rank == 0 ? MemberState::Open : MemberState::Ready};
      this->list(Row);
    }
  }
  std::map<ServiceDomain, DomainView> views() {
    return ownedDomains(this->Board, this->Config, this->Assignment, at(0));
  }
  EntryBoard Board;
  RoutingConfig Config;
  PartitionAssignment Assignment;
  int Vms = 0;
};

TEST_CASE_METHOD(ViewsFixture,
                 "domain views: all VMs of a domain went: it is still shown",
                 "[unit]") {
  this->group("b", "large", 4);
  this->Board.Targets.write([&](Fleet &Rows) {
    TargetRef Row = this->vm("a");
    Rows.Removed[Row->Id] = {Row, at(0)};
  });
  std::map<ServiceDomain, DomainView> Views = this->views();
  REQUIRE(Views.size() == 2);
  CHECK(Views.at(llmIn("a")).OtherGroups.at("large") == 1);
  CHECK(Views.at(llmIn("b")).OtherGroups.empty());
}

TEST_CASE_METHOD(ViewsFixture,
                 "domain views: other domains lost members: what they make of "
                 "the rest is counted, and what those before do",
                 "[unit]") {
  // Three of four members remain, beside a small group whose VMs can be used.
  for (const char *Domain : {"a", "b", "c"}) {
    this->group(Domain, "large", 4, 1);
    this->group(Domain, "small", 2);
  }
  // Enough free VMs for a large group.
  for (int I = 0; I < 4; ++I)
    this->list(this->vm("d"));
  std::map<ServiceDomain, DomainView> Views = this->views();
  DomainView &Last = Views.at(llmIn("c"));
  CHECK(Last.OtherGroups.at("large") == 1);
  CHECK(Last.OtherGroups.at("small") == 2);
  CHECK(Last.EarlierTrades.at("large") == 2);
  CHECK(Last.EarlierTrades.at("small") == -2);
  CHECK(Views.at(llmIn("a")).EarlierTrades.empty());
}

// Guards against VMs of one service that are ordered into groups of another.
TEST_CASE_METHOD(ViewsFixture,
                 "domain views: VMs of two services share a domain: each is "
                 "planned with its own service's alone",
                 "[unit]") {
  this->addService("other");
  for (int I = 0; I < 2; ++I)
    this->list(this->vm("d"));
  this->group("d", "small", 2);
  for (int I = 0; I < 3; ++I) {
    auto Row = this->vm("d");
    Row->Service = ServiceId("other");
    this->list(Row);
  }
  std::map<ServiceId, std::size_t> Counts;
  for (const auto &[Key, View] : this->views()) {
    CHECK(View.Domain == DomainId("d"));
    for (const TargetRef &Row : View.Targets)
      CHECK(Row->Service == View.Service);
    Counts[View.Service] += View.Targets.size();
  }
  CHECK(Counts == std::map<ServiceId, std::size_t>{{ServiceId("llm"), 4},
                                                   {ServiceId("other"), 3}});
}

} // namespace waycove::test
