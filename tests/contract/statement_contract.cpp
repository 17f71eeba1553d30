// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// What targets of the users' platform state in their responses, with bad input.
#include "platform/callers.h"

#include <catch2/catch.hpp>

namespace waycove::test {

namespace {

TargetStatement statementIn(const std::string &Header, const std::string &Value,
                            int Status = 200) {
  Poco::Net::HTTPResponse Response(
      static_cast<Poco::Net::HTTPResponse::HTTPStatus>(Status));
  Response.set(Header, Value);
  return platform::Callers::readResponseInfo(Response).Statement;
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
  // Errors and refusals state it, too, but not another process.
  CHECK(statementIn("Server-Limit", "2", 503).Limit);
  CHECK(statementIn("Server-Limit", "2", 500).Limit);
  CHECK_FALSE(statementIn("Server-Limit", "2", 421).Limit);
}

} // namespace waycove::test
