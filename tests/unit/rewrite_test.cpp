// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// Records that daemons write again after the log was restored from an older
// copy, and checkpoints of an earlier era.
#include "policy/rewrite.h"

#include <catch2/catch.hpp>

namespace waycove::test {

/// A log and the state of its records.
struct LogFixture {
  void append(wire::RecordT Record, std::uint64_t Written) {
    Record.id = "r" + std::to_string(this->Records.size());
    Record.written_ms = Written;
    this->Records.push_back(packRecord(Record));
    this->State.fold(this->State.next(), this->Records.back());
  }
  void publish(const std::string &Name, const std::string &Value,
               std::uint64_t Written) {
    ObjectRef Present = this->selector(Name, this->State);
    wire::ConfigChangeT Change;
    Change.kind = "selector";
    Change.name = Name;
    Change.base = Present ? Present->Revision : 0;
    Change.body = "kind: selector\nname: " + Name + "\nspec: {match: {tier: [" +
                  Value + "]}}";
    wire::RecordT Record;
    Record.change.Set(std::move(Change));
    this->append(std::move(Record), Written);
  }
  void remove(const std::string &Name, std::uint64_t Written) {
    wire::ConfigChangeT Change;
    Change.kind = "selector";
    Change.name = Name;
    Change.base = this->selector(Name, this->State)->Revision;
    Change.removed = true;
    wire::RecordT Record;
    Record.change.Set(std::move(Change));
    this->append(std::move(Record), Written);
  }
  void claim(const std::string &Key, const std::string &Dispatcher,
             std::uint64_t Written) {
    wire::ClaimBatchT Batch;
    Batch.dispatcher = Dispatcher;
    Batch.claims.push_back(std::make_unique<wire::ClaimKeyT>());
    Batch.claims.back()->workspace = "w";
    Batch.claims.back()->key = Key;
    Batch.claims.back()->issued_ms = Written;
    wire::RecordT Record;
    Record.change.Set(std::move(Batch));
    this->append(std::move(Record), Written);
  }
  static ObjectRef selector(const std::string &Name, const FoldState &Of) {
    return Of.object({ObjectKind::Selector, Name});
  }
  /// Returns the state of the first \p Count records in \p Era.
  FoldState foldFirst(std::size_t Count, std::uint64_t Era) const {
    FoldState Copy{Offset(packPosition(StoreEra(Era), 0))};
    for (std::size_t I = 0; I < Count; ++I)
      Copy.fold(Copy.next(), this->Records[I]);
    return Copy;
  }
  /// Folds all of \p Lost into \p Into and returns true if each is settled
  /// then.
  static bool write(const std::vector<wire::RecordT> &Lost, FoldState &Into) {
    for (const wire::RecordT &Row : Lost)
      Into.fold(Into.next(), packRecord(Row));
    return std::all_of(Lost.begin(), Lost.end(),
                       [&](const auto &Row) { return isSettled(Row, Into); });
  }
  static bool says(const FoldState &Of, const std::string &Name,
                   const std::string &Value) {
    ObjectRef Row = selector(Name, Of);
    return Row && Row->Body.find("[" + Value + "]") != std::string::npos;
  }

  std::vector<std::string> Records;
  FoldState State;
};

TEST_CASE_METHOD(LogFixture,
                 "rewrite: objects were changed, added and removed since the "
                 "copy: all is as before",
                 "[unit]") {
  this->publish("changed", "old", 1000);
  this->publish("removed", "old", 1001);
  this->publish("same", "old", 1002);
  FoldState Copy = this->foldFirst(3, 1);
  this->publish("changed", "new", 2000);
  this->publish("added", "new", 2001);
  this->remove("removed", 2002);
  std::vector<wire::RecordT> Lost = lostRecords(this->State, Copy);
  CHECK(Lost.size() == 3);
  CHECK(write(Lost, Copy));
  CHECK(says(Copy, "changed", "new"));
  CHECK(says(Copy, "added", "new"));
  CHECK(says(Copy, "same", "old"));
  CHECK_FALSE(selector("removed", Copy));
  CHECK(lostRecords(this->State, Copy).empty());
}

TEST_CASE_METHOD(LogFixture,
                 "rewrite: operators published after the restore: that stays",
                 "[unit]") {
  this->publish("changed", "old", 1000);
  FoldState Copy = this->foldFirst(1, 1);
  this->publish("changed", "lost", 2000);
  LogFixture After;
  After.State = Copy;
  After.publish("changed", "newer", 3000);
  After.publish("added", "newer", 3001);
  CHECK(lostRecords(this->State, After.State).empty());
}

TEST_CASE_METHOD(LogFixture,
                 "rewrite: several daemons write the same: the first counts, "
                 "and what operators publish meanwhile stays",
                 "[unit]") {
  this->publish("changed", "old", 1000);
  FoldState Copy = this->foldFirst(1, 1);
  this->publish("changed", "new", 2000);
  std::vector<wire::RecordT> First = lostRecords(this->State, Copy);
  std::vector<wire::RecordT> Second = lostRecords(this->State, Copy);
  CHECK(write(First, Copy));
  LogFixture After;
  After.State = Copy;
  After.publish("changed", "newer", 3000);
  CHECK(write(Second, After.State));
  CHECK(says(After.State, "changed", "newer"));
}

TEST_CASE_METHOD(LogFixture,
                 "rewrite: a key was claimed since the copy: its dispatcher "
                 "holds it again",
                 "[unit]") {
  this->publish("any", "x", 1000);
  this->claim("k1", "d1", 1500);
  FoldState Copy = this->foldFirst(2, 1);
  this->claim("k2", "d2", 2000);
  this->claim("k3", "d2", 2001);
  std::vector<wire::RecordT> Lost = lostRecords(this->State, Copy);
  REQUIRE(Lost.size() == 1);
  CHECK(write(Lost, Copy));
  const Claim *Held = Copy.claim({WorkspaceId("w"), IdempotencyKey("k2")});
  REQUIRE(Held);
  CHECK(Held->Dispatcher == IncarnationId("d2"));
  CHECK(Copy.claimCount() == 3);
}

TEST_CASE_METHOD(LogFixture,
                 "fold: a checkpoint of an earlier era, and the records after "
                 "it: the same state as from the records alone",
                 "[unit]") {
  this->publish("a", "1", 1000);
  this->publish("b", "1", 1001);
  std::string Saved = this->foldFirst(2, 0).save();
  this->publish("a", "2", 1002);
  FoldState Resumed{Offset(packPosition(StoreEra(3), 0))};
  REQUIRE(Resumed.load(Saved, StoreEra(3)).ok());
  Resumed.fold(Resumed.next(), this->Records[2]);
  FoldState Straight = this->foldFirst(3, 3);
  CHECK(Resumed.digest() == Straight.digest());
  CHECK(selector("a", Resumed)->Revision >
        selector("a", this->State)->Revision);
  // Fails without conversion to the era, and from a later one.
  FoldState Fresh{Offset(packPosition(StoreEra(3), 0))};
  CHECK_FALSE(Fresh.load(Saved).ok());
  CHECK_FALSE(this->State.load(Saved).ok());
  CHECK(checkpointPosition(Saved)->LastRecord == "r1");
}

} // namespace waycove::test
