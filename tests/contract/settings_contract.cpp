// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// The settings template that the platform fills: each field's value reaches the
// daemon's settings.
#include "base/settings.h"
#include "support/cluster.h"

#include <catch2/catch.hpp>
#include <fstream>
#include <regex>
#include <sstream>

namespace waycove::test {

namespace {

/// Values of the platform's fields by dotted name. A missing key is a missing
/// field, "false" is false.
using Fields = std::map<std::string, std::string>;

/// Entries of the platform's lists and tables by name; a list's keys are its
/// positions.
using Lists =
    std::map<std::string, std::vector<std::pair<std::string, std::string>>>;

void replaceAll(std::string &Text, const std::string &From,
                const std::string &To) {
  for (std::size_t At = 0; (At = Text.find(From, At)) != std::string::npos;
       At += To.size())
    Text.replace(At, From.size(), To);
}

/// The body of a section, once for each entry of a list or table.
std::string repeat(const std::string &Body, const Lists::mapped_type &Entries) {
  std::string Out;
  for (std::size_t I = 0; I < Entries.size(); ++I) {
    std::string Next = Body;
    replaceAll(Next, "{{@}}", Entries[I].first);
    replaceAll(Next, "{{.}}", Entries[I].second);
    replaceAll(Next, "{{,}}", I + 1 < Entries.size() ? "," : "");
    Out += Next;
  }
  return Out;
}

/// Expands sections and then placeholders like the platform, without nested
/// sections, which the template does not use.
std::string fill(std::string Text, const Fields &Given, const Lists &Listed) {
  static const std::regex Span(
      R"(\{\{([#^])([a-z_.]+)\}\}([\s\S]*?)\{\{/\2\}\})");
  static const std::regex Gap(R"(\{\{([a-z_.0-9]+)(\|json)?\}\})");
  std::smatch Found;
  while (std::regex_search(Text, Found, Span)) {
    auto At = Given.find(Found[2]);
    bool True = At != Given.end() && At->second != "false";
    bool Kept = (Found[1] == "#") == True;
    std::string Next = Found.prefix();
    if (auto List = Listed.find(Found[2]); List != Listed.end())
      Next += repeat(Found[3], List->second);
    else if (Kept)
      Next += Found[3];
    Next += Found.suffix();
    Text = std::move(Next);
  }
  while (std::regex_search(Text, Found, Gap)) {
    auto At = Given.find(Found[1]);
    const std::string Value = At == Given.end() ? "" : At->second;
    std::string Quote = Found[2].matched ? "\"" : "";
    std::string Next = Found.prefix();
    Next.append(Quote).append(Value).append(Quote).append(Found.suffix());
    Text = std::move(Next);
  }
  return Text;
}

} // namespace

struct TemplateFixture {
  TemplateFixture() {
    std::ifstream File(WAYCOVE_SOURCE "/deploy/settings.yaml");
    std::stringstream Read;
    Read << File.rdbuf();
    this->Text = Read.str();
  }
  /// The entry's settings with \p Changed in place of the default values.
  EntrySettings entryWith(const Fields &Changed,
                          const Lists &Listed = {}) const {
    Fields Given = Changed;
    Given.merge(Fields{{"node_name", "n1"},
                       {"zone", "a"},
                       {"listen.frontend", "10.0.0.1:80"},
                       {"listen.ready", "10.0.0.1:81"},
                       {"listen.control", "10.0.0.1:82"},
                       {"platform.address", "10.0.0.2:83"}});
    ValidationErrors Found;
    Settings Read =
        parseSettings("filled", fill(this->Text, Given, Listed), Found);
    INFO(Found.text());
    REQUIRE(Found.empty());
    REQUIRE(Read.Entry.has_value());
    return *Read.Entry;
  }
  std::string Text;
};

TEST_CASE_METHOD(TemplateFixture,
                 "settings template: a flag given either way: it is taken",
                 "[contract]") {
  const std::string Closed = "bounds.revoke_fail_closed";
  CHECK(this->entryWith({{Closed, "true"}}).RevokeFailClosed);
  CHECK_FALSE(this->entryWith({{Closed, "false"}}).RevokeFailClosed);
  CHECK(this->entryWith({{"bootstrap", "true"}}).FirstStart);
  CHECK_FALSE(this->entryWith({{"bootstrap", "false"}}).FirstStart);
  CHECK_FALSE(this->entryWith({}).FirstStart);
}

TEST_CASE_METHOD(
    TemplateFixture,
    "settings template: seeds and data centres: each is taken, and "
    "none where none is given",
    "[contract]") {
  EntrySettings Read = this->entryWith(
      {}, {{"seeds", {{"0", "10.1.0.1:82"}, {"1", "10.2.0.1:82"}}},
           {"zones", {{"a", "west"}, {"b", "east"}}}});
  REQUIRE(Read.Seeds.size() == 2);
  CHECK(Read.Seeds[1].text() == "10.2.0.1:82");
  CHECK(Read.Regions.at(DataCentreId("a")) == RegionId("west"));
  CHECK(Read.Regions.at(DataCentreId("b")) == RegionId("east"));
  Read = this->entryWith({});
  CHECK(Read.Seeds.empty());
  CHECK(Read.Regions.empty());
}

TEST_CASE_METHOD(TemplateFixture,
                 "settings template: a bound is changed: so is the setting",
                 "[contract]") {
  struct Row {
    const char *Field;
    const char *Value;
    double Expected;
    double (*Read)(const EntrySettings &);
  };
  auto Ms = [](Millis Time) { return static_cast<double>(Time.count()); };
  static const auto Of = Ms;
  for (const Row &Each : std::initializer_list<Row>{
           {"bounds.revoke_ms", "4321", 4321,
            [](const EntrySettings &S) { return Of(S.RevokeBound); }},
           {"bounds.drain_ms", "3210", 3210,
            [](const EntrySettings &S) { return Of(S.DrainBound); }},
           {"bounds.config_apply_ms", "3211", 3211,
            [](const EntrySettings &S) { return Of(S.ConfigBound); }},
           {"bounds.grace_s", "7.5", 7500,
            [](const EntrySettings &S) { return Of(S.GracePeriod); }},
           {"bounds.grace_s", "9", 9000,
            [](const EntrySettings &S) { return Of(S.GracePeriod); }},
           {"bounds.retry_budget_ratio", "0.35", 0.35,
            [](const EntrySettings &S) { return S.RetryRatio; }},
           {"bounds.retry_budget_slack", "17", 17,
            [](const EntrySettings &S) { return S.RetrySlack; }},
           {"bounds.budget_window_s", "12.5", 12500,
            [](const EntrySettings &S) { return Of(S.RetryWindow); }},
           {"heartbeat_ms", "1300", 1300,
            [](const EntrySettings &S) {
              return Of(S.TargetHeartbeatInterval);
            }},
           {"platform.ttl_min_ms", "700", 700,
            [](const EntrySettings &S) { return Of(S.MinLease); }},
           {"limits.link_mbps", "200.0", 200,
            [](const EntrySettings &S) { return S.LinkMbps; }},
           {"limits.memory_mb", "160", 40 << 20,
            [](const EntrySettings &S) {
              return static_cast<double>(S.MaxBufferBytes);
            }},
           {"limits.memory_mb", "160.0", 40 << 20,
            [](const EntrySettings &S) {
              return static_cast<double>(S.MaxBufferBytes);
            }},
           {"platform.parts", "31", 31, [](const EntrySettings &S) {
              return static_cast<double>(S.PartitionCount);
            }}}) {
    INFO(Each.Field);
    CHECK(Each.Read(this->entryWith({{Each.Field, Each.Value}})) ==
          Each.Expected);
  }
}

} // namespace waycove::test
