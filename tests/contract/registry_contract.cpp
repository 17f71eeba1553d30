// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// Decoding of registry entries: valid ones, incomplete ones and damaged ones.
#include "platform/decode.h"

#include <Poco/JSON/Array.h>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <random>

namespace waycove::test {

namespace {

constexpr char EngineEntry[] =
    R"({"service":"llm","address":"10.128.0.9:8080","zone":"a",)"
    R"("version":"v1","slots":48,"state":"ready","cold_left_ms":0,)"
    R"("phase":"unified","models":[{"name":"m","version":1,"adapters":[]}],)"
    R"("sequence":4,"born":1764700000123,"domain":"d1","staged":["m"],)"
    R"("group":{"name":"m,d1,7","epoch":7,"rank":1,"state":"ready"}})";
constexpr char PlainEntry[] =
    R"({"service":"plain","address":"10.128.0.7:80","zone":"a",)"
    R"("version":"v1","slots":6,"state":"draining","cold_left_ms":120.5,)"
    R"("sequence":0,"born":1764700000123})";

absl::StatusOr<TargetInfo> decode(const std::string &Value) {
  return platform::TargetDecoder()("i-1", Value);
}

/// \p Value with the first \p Old replaced by \p New.
std::string with(std::string Value, const std::string &Old,
                 const std::string &New) {
  std::size_t At = Value.find(Old);
  REQUIRE(At != std::string::npos);
  return Value.replace(At, Old.size(), New);
}

struct Damage {
  const char *Old;
  const char *New;
};

/// Number of random cases; WAYCOVE_CASES overrides the default.
int caseCount() {
  constexpr int DefaultCount = 10000;
  const char *Override = std::getenv("WAYCOVE_CASES");
  return Override ? std::atoi(Override) : DefaultCount;
}

std::string mutated(std::string Text, std::mt19937_64 &Random) {
  static const std::vector<std::string> Pieces{"{",
                                               "}",
                                               "[",
                                               "]",
                                               "\"",
                                               ",",
                                               ":",
                                               "null",
                                               "true",
                                               "-1",
                                               "1e400",
                                               "0.5",
                                               "99999999999999999999",
                                               "\xff\xfe",
                                               std::string(1, '\0'),
                                               "{}",
                                               "[]",
                                               "\"born\":",
                                               "\"state\":\"open\"",
                                               "\\ud800",
                                               std::string(300, '[')};
  auto RandomBelow = [&](std::size_t Bound) {
    return std::uniform_int_distribution<std::size_t>(0, Bound - 1)(Random);
  };
  for (std::size_t Changes = 1 + RandomBelow(5); Changes > 0 && !Text.empty();
       --Changes) {
    std::size_t At = RandomBelow(Text.size());
    switch (RandomBelow(5)) {
    case 0:
      Text[At] = static_cast<char>(RandomBelow(256));
      break;
    case 1:
      Text.erase(At, 1 + RandomBelow(30));
      break;
    case 2:
      Text.insert(At,
                  Text.substr(RandomBelow(Text.size()), 1 + RandomBelow(40)));
      break;
    case 3:
      Text.replace(At, RandomBelow(12), Pieces[RandomBelow(Pieces.size())]);
      break;
    default:
      Text.resize(At);
    }
  }
  return Text;
}

} // namespace

TEST_CASE("registry entry: a target's own: read whole", "[contract]") {
  absl::StatusOr<TargetInfo> Engine = decode(EngineEntry);
  REQUIRE(Engine.ok());
  CHECK(Engine->incarnation() ==
        VmIncarnation{VmId("i-1"), WallMs(1764700000123)});
  CHECK(Engine->Address.text() == "10.128.0.9:8080");
  CHECK(Engine->Domain == DomainId("d1"));
  CHECK(Engine->hasLoaded("m"));
  CHECK(Engine->hasStaged("m"));
  REQUIRE(Engine->Group);
  CHECK(Engine->Group->Group == GroupKey{"m,d1,7", 7});
  CHECK(Engine->Group->State == MemberState::Ready);
  absl::StatusOr<TargetInfo> Plain = decode(PlainEntry);
  REQUIRE(Plain.ok());
  CHECK(Plain->Draining);
  CHECK_FALSE(Plain->Group);
}

TEST_CASE("registry entry: no group, told in three ways: in no group",
          "[contract]") {
  std::string Group =
      R"("group":{"name":"m,d1,7","epoch":7,"rank":1,"state":"ready"})";
  for (const char *None : {R"("group":null)", R"("group":{})", R"("x":1)"}) {
    INFO(None);
    absl::StatusOr<TargetInfo> Row = decode(with(EngineEntry, Group, None));
    REQUIRE(Row.ok());
    CHECK_FALSE(Row->Group);
  }
}

TEST_CASE("registry entry: no start is told: zero, for platforms without it",
          "[contract]") {
  absl::StatusOr<TargetInfo> Row =
      decode(with(EngineEntry, R"("born":1764700000123,)", ""));
  REQUIRE(Row.ok());
  CHECK(Row->StartedAt == WallMs());
}

TEST_CASE("registry entry: a field is missing or of another type: it names no "
          "target",
          "[contract]") {
  for (const Damage &Row :
       {Damage{R"("service":"llm",)", ""},
        Damage{R"("service":"llm")", R"("service":7)"},
        Damage{R"("service":"llm")", R"("service":"")"},
        Damage{R"("address":"10.128.0.9:8080",)", ""},
        Damage{R"("10.128.0.9:8080")", R"("10.128.0.9")"},
        Damage{R"("10.128.0.9:8080")", R"("10.128.0.9:80x")"},
        Damage{R"("10.128.0.9:8080")", R"("10.128.0.9:0")"},
        Damage{R"("10.128.0.9:8080")", R"("10.128.0.9:70000")"},
        Damage{R"("10.128.0.9:8080")", R"(":8080")"},
        Damage{R"("10.128.0.9:8080")", "8080"},
        Damage{R"("zone":"a",)", ""},
        Damage{R"("zone":"a")", R"("zone":["a"])"},
        Damage{R"("version":"v1",)", ""},
        Damage{R"("version":"v1")", R"("version":1)"},
        Damage{R"("slots":48,)", ""},
        Damage{R"("slots":48)", R"("slots":"48")"},
        Damage{R"("slots":48)", R"("slots":-48)"},
        Damage{R"("slots":48)", R"("slots":4.5)"},
        Damage{R"("state":"ready",)", ""},
        Damage{R"("state":"ready")", R"("state":"resting")"},
        Damage{R"("state":"ready")", R"("state":"Ready")"},
        Damage{R"("state":"ready")", R"("state":true)"},
        Damage{R"("cold_left_ms":0,)", ""},
        Damage{R"("cold_left_ms":0)", R"("cold_left_ms":"0")"},
        Damage{R"("sequence":4,)", ""},
        Damage{R"("sequence":4)", R"("sequence":null)"},
        Damage{"1764700000123", "1764700000123.5"},
        Damage{"1764700000123", R"("1764700000123")"},
        Damage{"1764700000123", "-5"},
        Damage{"1764700000123", "null"},
        Damage{R"("domain":"d1")", R"("domain":1)"},
        Damage{R"("staged":["m"])", R"("staged":"m")"},
        Damage{R"("staged":["m"])", R"("staged":["m",2])"},
        Damage{R"([{"name":"m","version":1,"adapters":[]}])", R"(["m"])"},
        Damage{R"([{"name":"m","version":1,"adapters":[]}])", R"([{}])"},
        Damage{R"("name":"m,d1,7",)", ""},
        Damage{R"("epoch":7)", R"("epoch":"7")"},
        Damage{R"("rank":1)", R"("rank":4294967296)"},
        Damage{R"("rank":1)", R"("rank":-1)"},
        Damage{R"(1,"state":"ready")", R"(1,"state":"asleep")"},
        Damage{R"({"service")", R"(["service")"},
        Damage{R"({"service")", "\xff\xfe{\"service\""}}) {
    INFO(Row.Old << " -> " << Row.New);
    CHECK_FALSE(decode(with(EngineEntry, Row.Old, Row.New)).ok());
  }
  for (const char *Bytes : {"", "null", "[]", "{}", "\"text\"", "\x80\x81"})
    CHECK_FALSE(decode(Bytes).ok());
}

TEST_CASE("registry entry: any damage: refused, or whole; nothing is thrown",
          "[contract]") {
  std::mt19937_64 Random(20261203);
  int Accepted = 0;
  for (int I = 0; I < caseCount(); ++I) {
    std::string Text = mutated(I % 2 == 0 ? EngineEntry : PlainEntry, Random);
    absl::StatusOr<TargetInfo> Row = decode(Text);
    if (!Row.ok())
      continue;
    ++Accepted;
    INFO(Text);
    REQUIRE_FALSE(Row->Service.empty());
    REQUIRE_FALSE(Row->DataCentre.empty());
    REQUIRE_FALSE(Row->Address.Host.empty());
    REQUIRE(Row->Address.Port > 0);
    if (Row->Group)
      REQUIRE_FALSE(Row->Group->Group.Name.empty());
    for (const std::string &Model : Row->Loaded)
      REQUIRE_FALSE(Model.empty());
  }
  // Guards against mutations that are all harmless or all fatal.
  CHECK(Accepted > 0);
  CHECK(Accepted < caseCount());
}

} // namespace waycove::test
