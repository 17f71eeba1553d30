// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// All parsers of this project: settings, objects, frames, JSON bodies, keys.
#include "base/json.h"
#include "base/settings.h"
#include "edge/request.h"
#include "policy/objects.h"
#include "wire/frame.h"

#include <catch2/catch.hpp>
#include <fstream>
#include <iterator>
#include <rapidcheck.h>

namespace waycove {

namespace {

std::string readSource(const std::string &Name) {
  std::ifstream File(std::string(WAYCOVE_SOURCE) + "/" + Name);
  return {std::istreambuf_iterator<char>(File), {}};
}

/// Returns \p Whole with a few bytes changed, removed or doubled, or random
/// bytes.
std::string damaged(const std::string &Whole) {
  std::string Text = *rc::gen::element(Whole, Whole, Whole, std::string());
  for (int I = *rc::gen::inRange(0, 8); I > 0 && !Text.empty(); --I) {
    auto At = *rc::gen::inRange<std::size_t>(0, Text.size());
    switch (*rc::gen::inRange(0, 4)) {
    case 0:
      Text[At] = *rc::gen::element('{', '}', '[', ']', ':', '\n', '&', '*', '"',
                                   '\0', '-', '\xfe');
      break;
    case 1:
      Text.erase(At, *rc::gen::inRange<std::size_t>(1, 40));
      break;
    case 2:
      Text.insert(At, Text.substr(At, 30));
      break;
    default:
      Text.resize(At);
    }
  }
  return Text + *rc::gen::element(std::string(), std::string(200, '['),
                                  std::string(200, '{'), std::string("- - -"));
}

} // namespace

TEST_CASE("settings: any damage: settings or mistakes with line and field",
          "[property]") {
  std::string Whole = readSource("examples/local/burnaby-1.yaml");
  REQUIRE(!Whole.empty());
  CHECK(rc::check([&] {
    ValidationErrors Found;
    Settings Result = parseSettings("f", damaged(Whole), Found);
    for (const ValidationError &Row : Found.Errors) {
      RC_ASSERT(Row.Line >= 1);
      RC_ASSERT(!Row.Field.empty() && !Row.Expected.empty());
    }
    if (Found.empty())
      RC_ASSERT(Result.Http.Port > 0);
  }));
}

TEST_CASE("objects: any damage: objects or mistakes", "[property]") {
  std::string Whole = readSource("examples/local/objects.yaml");
  ValidationErrors None;
  REQUIRE(parseObjects("f", Whole, None).size() == 7);
  REQUIRE(None.empty());
  CHECK(rc::check([&] {
    ValidationErrors Found;
    std::vector<Object> Rows = parseObjects("f", damaged(Whole), Found);
    if (!Found.empty())
      RC_ASSERT(!Found.text().empty());
    else
      for (const Object &Row : Rows)
        RC_ASSERT(!Row.Key.Name.empty());
  }));
}

TEST_CASE("frames: any damage: a frame or BadRequest", "[property]") {
  wire::ForwardT Asked;
  Asked.request = "r";
  Asked.workspace = "w";
  Asked.body.assign(100, 7);
  std::string Whole = packFrame(makeFrame(5, std::move(Asked)));
  CHECK(rc::check([&] {
    auto Frame = unpackFrame(damaged(Whole));
    if (!Frame.ok()) {
      RC_ASSERT(kindOf(Frame.status()) == ErrorKind::BadRequest);
      return;
    }
    if (const auto *Row = Frame->message.AsForward()) {
      auto Request = fromForward(*Row, TimePoint());
      RC_ASSERT(Request.ok() ||
                kindOf(Request.status()) == ErrorKind::BadRequest);
    }
  }));
}

TEST_CASE("json and keys: any damage: a value or a clear error", "[property]") {
  std::string Whole = R"({"prompt":"x","max_tokens":5,"a":{"b":[1,2]}})";
  CHECK(rc::check([&] {
    auto Body = parseJson(damaged(Whole));
    if (Body.ok())
      numberAt(*Body, "max_tokens");
    else
      RC_ASSERT(kindOf(Body.status()) == ErrorKind::BadRequest);
    auto Key = parseKey(IdempotencyKey(damaged("t-1700000000000-abc-7")));
    RC_ASSERT(Key.ok() || kindOf(Key.status()) == ErrorKind::KeyInvalid);
  }));
}

TEST_CASE("settings: a file full of mistakes: all named in one go", "[table]") {
  ValidationErrors Found;
  parseSettings("bad.yaml",
                "node: n1\nhttp: localhost\nplatform: 1.2.3.4:99999\n"
                "peer_listen: 127.0.0.1:1\nmax_streams: many\nspeed: 9\n"
                "operator_key_digest: x\n",
                Found);
  std::string Text = Found.text();
  for (const char *Part :
       {"bad.yaml:2: http", "bad.yaml:3: platform", "data_centre",
        "bad.yaml:5: max_streams: expected a whole number",
        "bad.yaml:6: speed: expected one of"})
    CHECK(Text.find(Part) != std::string::npos);
}

} // namespace waycove
