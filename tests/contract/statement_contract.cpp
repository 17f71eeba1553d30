// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// What targets of the users' platform state in their responses, with bad input.
#include "platform/callers.h"

#include <catch2/catch.hpp>

namespace waycove::test {

namespace {

/// The statement in a target's signed response.
TargetStatement statementIn(const std::string &Header, const std::string &Value,
                            int Status = 200) {
  Poco::Net::HTTPResponse Response(
      static_cast<Poco::Net::HTTPResponse::HTTPStatus>(Status));
  Response.set(Header, Value);
  Response.set("X-Replica-Seal", "seal");
  auto Found = platform::Callers::readResponseInfo(Response).Statement;
  REQUIRE(Found);
  return *Found;
}

struct LimitCase {
  const char *Value;
  /// Expected rate; negative if the value states none.
  double PerSecond;
};

} // namespace

// Guards against a limit that is taken for another one, or for none.
TEST_CASE("statement: each form of a limit: read as a rate, or known to be "
          "unreadable",
          "[contract]") {
  for (const LimitCase &Case :
       {LimitCase{"1.7", 1.7}, LimitCase{" 0.5 ", 0.5}, LimitCase{"0", 0},
        LimitCase{"12", 12}, LimitCase{"1e3", 1000}, LimitCase{"", -1},
        LimitCase{"-1", -1}, LimitCase{"nan", -1}, LimitCase{"inf", -1},
        LimitCase{"1e999", -1}, LimitCase{"many", -1}, LimitCase{"1,7", -1},
        LimitCase{"1.7, 2", -1}, LimitCase{"1.7/s", -1}}) {
    CAPTURE(Case.Value);
    TargetStatement Found = statementIn("Server-Limit", Case.Value);
    bool IsReadable = Case.PerSecond >= 0;
    CHECK(Found.Limit.has_value() == IsReadable);
    CHECK(Found.HasUnreadableLimit == !IsReadable);
    if (IsReadable)
      CHECK(Found.Limit->PerSecond == Case.PerSecond);
  }
  TargetStatement None = statementIn("X-Other", "1");
  CHECK_FALSE(None.Limit);
  CHECK_FALSE(None.HasUnreadableLimit);
  // Errors and refusals state it, too.
  CHECK(statementIn("Server-Limit", "2", 503).Limit);
  CHECK(statementIn("Server-Limit", "2", 500).Limit);
}

// Guards against a limit or a leaving that begins or ends by a response which
// the target did not send.
TEST_CASE("statement: another process may have responded: nothing is stated",
          "[contract]") {
  auto IsStated = [](int Status, bool Signed) {
    Poco::Net::HTTPResponse Response(
        static_cast<Poco::Net::HTTPResponse::HTTPStatus>(Status));
    Response.set("Server-Limit", "2");
    if (Signed)
      Response.set("X-Replica-Seal", "seal");
    return platform::Callers::readResponseInfo(Response).Statement.has_value();
  };
  CHECK(IsStated(200, true));
  CHECK(IsStated(500, false));
  CHECK(IsStated(503, false));
  CHECK_FALSE(IsStated(200, false));
  CHECK_FALSE(IsStated(421, false));
  CHECK_FALSE(IsStated(421, true));
}

// Guards against a target that is left alone for good by mistake.
TEST_CASE("statement: each form of leaving: only one means it", "[contract]") {
  CHECK(statementIn("Server-Leaving", "1").Leaving);
  CHECK(statementIn("Server-Leaving", " 1 ", 503).Leaving);
  CHECK(statementIn("Server-Leaving", "1", 500).Leaving);
  for (const char *Value : {"0", "", "yes", "-1", "1.0", "true"}) {
    CAPTURE(Value);
    TargetStatement Found = statementIn("Server-Leaving", Value);
    CHECK_FALSE(Found.Leaving);
    CHECK(Found.HasUnreadableLeaving == (std::string(Value) != "0"));
  }
  CHECK_FALSE(statementIn("X-Other", "1").Leaving);
  CHECK_FALSE(statementIn("X-Other", "1").HasUnreadableLeaving);
}

// Guards against a rest that is too short, or that is read where none was asked
// for.
TEST_CASE("statement: each form of a rest: read as a time, or known to be "
          "unreadable",
          "[contract]") {
  struct RestCase {
    const char *Value;
    std::optional<Millis> Rest;
  };
  for (const RestCase &Case :
       {RestCase{"3", Millis(3000)}, RestCase{"0.25", Millis(250)},
        RestCase{"0.0001", Millis(1)}, RestCase{"0", Millis(0)},
        RestCase{"-2", std::nullopt}, RestCase{"nan", std::nullopt},
        RestCase{"soon", std::nullopt},
        RestCase{"Wed, 21 Oct 2026 07:28:00 GMT", std::nullopt}}) {
    CAPTURE(Case.Value);
    TargetStatement Found = statementIn("Retry-After", Case.Value, 503);
    CHECK(Found.Rest == Case.Rest);
    CHECK(Found.HasUnreadableRest == !Case.Rest);
  }
  CHECK(statementIn("Retry-After", "1e300", 503).Rest > Millis(1'000'000));
  // Only a request that was turned away asks for rest.
  for (int Status : {200, 429, 500})
    CHECK_FALSE(statementIn("Retry-After", "3", Status).Rest);
}

} // namespace waycove::test
