// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// What callers of the users' platform state in their requests, with bad input.
#include "platform/callers.h"

#include <catch2/catch.hpp>

namespace waycove::test {

namespace {

std::vector<std::string> sharedParts(const std::string &Value) {
  Poco::Net::HTTPRequest Request;
  Request.set("X-Prefix-Hash", Value);
  return platform::Callers::readRequestInfo(Request).SharedParts;
}

std::optional<Millis> keepAlive(const std::string &Value) {
  Poco::Net::HTTPResponse Response;
  Response.set("Keep-Alive", Value);
  return platform::Callers::readResponseInfo(Response).KeepAlive;
}

struct PartsCase {
  const char *Value;
  std::vector<std::string> Parts;
};

} // namespace

// Guards against taking the last part, which belongs to the request, for a
// shared one, and against two readings of the same part.
TEST_CASE("prompt parts: each form of the header: the shared parts are read",
          "[contract]") {
  for (const PartsCase &Case :
       {PartsCase{"", {}}, PartsCase{"a1:5", {}}, PartsCase{",", {}},
        PartsCase{"a1:800,b2:41,c3:5", {"a1", "b2"}},
        PartsCase{" A1:800 , b2 : 41,c3:5", {"a1", "b2"}},
        PartsCase{"a1,b2,c3", {"a1", "b2"}},
        PartsCase{"a1:5,a1:5,b2:4,A1:5,c3:5", {"a1", "b2"}},
        PartsCase{"a1:5,xyz:4,:3,,b2:4,c3:5", {"a1", "b2"}},
        PartsCase{"a1:5,", {"a1"}}}) {
    CAPTURE(Case.Value);
    CHECK(sharedParts(Case.Value) == Case.Parts);
  }
  CHECK(platform::Callers::readRequestInfo(Poco::Net::HTTPRequest())
            .SharedParts.empty());
}

// Guards against a request that fills the evidence of a crash by itself.
TEST_CASE("prompt parts: a thousand of them, or one that is very long: "
          "bounded",
          "[contract]") {
  std::string Many;
  for (int I = 1; I <= 1000; ++I)
    Many += std::to_string(I) + ":1,";
  CHECK(sharedParts(Many + "ff:1").size() == CallerRequestInfo::MaxSharedParts);
  CHECK(sharedParts(std::string(10000, 'a') + ":1,b2:1,c3:1") ==
        std::vector<std::string>{"b2"});
}

// Guards against a time that overflows, so that a connection which the target
// keeps looks as if it had ended, or one that has ended is used.
TEST_CASE("keep-alive: each form of the field: at most an hour, or unknown",
          "[contract]") {
  CHECK(keepAlive("timeout=5, max=100") == Millis(5000));
  CHECK(keepAlive("max=100,timeout=5") == Millis(5000));
  CHECK(keepAlive("timeout=0") == Millis(0));
  for (const char *Unknown : {"", "5", "timeout=", "timeout=x", "timeout=-5",
                              "timeout=99999999999999999999999"}) {
    CAPTURE(Unknown);
    CHECK_FALSE(keepAlive(Unknown));
  }
  for (const char *Long : {"timeout=86400", "timeout=9223372036854775807",
                           "timeout=18446744073709551615"}) {
    CAPTURE(Long);
    CHECK(keepAlive(Long) == std::chrono::hours(1));
  }
}

} // namespace waycove::test
