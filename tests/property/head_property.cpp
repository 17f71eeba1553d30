// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// Each byte value at each place of a head, a chunk's line and a trailer: what
// is accepted is what the grammar allows, with one field for each line.
#include "net/framing.h"
#include "net/head.h"

#include <catch2/catch.hpp>
#include <regex>

namespace waycove::test {

namespace {

constexpr int ByteValues = 256;

// RFC 9110, 5.1 and 5.5, and RFC 9112, 2 to 5.
const std::string Token = "[!#$%&'*+.^_`|~0-9A-Za-z-]+";
const std::string Text = "[^\\x00-\\x08\\x0a-\\x1f\\x7f]*";
const std::string Fields = "(?:" + Token + ":" + Text + "\\r\\n)*";
const std::string RequestHead =
    Token + " /[!-~]* HTTP/1\\.[0-9]\\r\\n" + Fields + "\\r\\n";
/// With the statuses that are handled, and without the blank ahead of a reason
/// that is empty.
const std::string ResponseHead =
    "HTTP/1\\.[0-9] (?:[1-4][0-9][0-9]|50[0-9]|51[01])(?: " + Text +
    ")?\\r\\n" + Fields + "\\r\\n";
const std::string ChunkedBody =
    "4(?:;" + Text + ")?\\r\\nbody\\r\\n0\\r\\n" + Fields + "\\r\\n";

std::regex grammar(const std::string &Pattern) {
  return std::regex(Pattern, std::regex::optimize);
}

/// Calls \p Check with \p Bytes after each change of one byte in [\p From, \p
/// Until): to each other value, or each value put ahead of it.
template <typename F>
void changeEachByte(const std::string &Bytes, std::size_t From,
                    std::size_t Until, F &&Check) {
  for (std::size_t At = From; At < Until; ++At)
    for (int Value = 0; Value < ByteValues; ++Value) {
      std::string Changed = Bytes;
      Changed[At] = static_cast<char>(Value);
      Check(Changed);
      Changed = Bytes;
      Changed.insert(At, 1, static_cast<char>(Value));
      Check(Changed);
    }
}

std::size_t countLines(const std::string &Bytes) {
  std::size_t Count = 0;
  for (std::size_t At = 0; (At = Bytes.find("\r\n", At)) != std::string::npos;
       At += 2)
    ++Count;
  return Count;
}

template <typename Parser>
void checkHeads(const std::string &Bytes, const std::string &Pattern,
                Parser &&Parse) {
  const std::regex Grammar = grammar(Pattern);
  int Accepted = 0;
  int Refused = 0;
  changeEachByte(Bytes, 0, Bytes.size(), [&](const std::string &Changed) {
    // A shorter head with bytes behind it is another head.
    std::size_t Length = headLength(Changed).value_or(Changed.size());
    std::string Head = Changed.substr(0, Length);
    auto Read = Parse(Head);
    INFO(Head);
    REQUIRE(Read.has_value() == std::regex_match(Head, Grammar));
    if (Read) {
      // Without the start line and the empty line.
      REQUIRE(Read->size() == countLines(Head) - 2);
      ++Accepted;
    } else {
      ++Refused;
    }
    // What is refused in the end may be refused early; nothing else is.
    for (std::size_t Part = 0; Read && Part + 1 < Length; ++Part)
      REQUIRE(mayBecomeHead(std::string_view(Head).substr(0, Part)));
  });
  CHECK(Accepted > 0);
  CHECK(Refused > 0);
}

} // namespace

// Guards against two readers of a head that disagree on where a line ends.
TEST_CASE("heads: each byte at each place of a request: as the grammar says",
          "[property]") {
  checkHeads("PUT /a HTTP/1.1\r\nHost: b\r\nX-C:\td \r\n"
             "Content-Length: 4\r\n\r\n",
             RequestHead,
             [](const std::string &Head) { return parseRequestHead(Head); });
}

TEST_CASE("heads: each byte at each place of a response: as the grammar says",
          "[property]") {
  checkHeads("HTTP/1.1 200 OK\r\nX-A: b\r\nContent-Length: 4\r\n\r\n",
             ResponseHead,
             [](const std::string &Head) { return parseResponseHead(Head); });
}

// Guards against chunks that another reader finds elsewhere.
TEST_CASE("heads: each byte at each place of a chunk's extension and of a "
          "trailer: as the grammar says",
          "[property]") {
  const std::regex Grammar = grammar(ChunkedBody);
  const std::string Begin = "4;a=b\r\nbody\r\n0\r\n";
  const std::string Bytes = Begin + "X-C: d\r\nE: f\r\n\r\n";
  auto Check = [&](const std::string &Changed) {
    BodyDecoder Body(Framing::Chunked, 0);
    std::string Input = Changed;
    std::string Payload;
    Body.feed(Input, Payload);
    // What follows on the body is not of it.
    std::string Read = Changed.substr(0, Changed.size() - Input.size());
    INFO(Changed);
    REQUIRE(Body.isDone() == std::regex_match(Read, Grammar));
    if (Body.isDone())
      REQUIRE(Payload == "body");
  };
  changeEachByte(Bytes, 1, Bytes.find("\r\n"), Check);
  changeEachByte(Bytes, Begin.size(), Bytes.size(), Check);
}

} // namespace waycove::test
