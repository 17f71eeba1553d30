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

} // namespace waycove::test
