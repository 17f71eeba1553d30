// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// Heads of requests and responses: what is read, and what is refused.
#include "net/head.h"

#include <catch2/catch.hpp>

namespace waycove::test {

TEST_CASE("head: a request: its parts and fields as they were sent", "[unit]") {
  auto Head = parseRequestHead("POST /a?b=%20 HTTP/1.0\r\nHost: a\r\nX-A:\t b "
                               "\tc \r\nEmpty:\r\nX-A: =?utf-8?Q?d=0De?=\r\n"
                               "X-\xc3: \xc3\xbc\r\n\r\n");
  // A byte beyond ASCII may be in a value, but not in a name.
  CHECK_FALSE(Head.has_value());
  Head = parseRequestHead("POST /a?b=%20 HTTP/1.0\r\nHost: a\r\nX-A:\t b "
                          "\tc \r\nEmpty:\r\nX-B: =?utf-8?Q?d=0De?=\r\n"
                          "X-C: \xc3\xbc\r\n\r\n");
  REQUIRE(Head);
  CHECK(Head->getMethod() == "POST");
  CHECK(Head->getURI() == "/a?b=%20");
  CHECK(Head->getVersion() == "HTTP/1.0");
  CHECK(Head->get("x-a") == "b \tc");
  CHECK(Head->get("Empty").empty());
  CHECK(Head->get("X-B") == "=?utf-8?Q?d=0De?=");
  CHECK(Head->get("X-C") == "\xc3\xbc");
  CHECK(Head->size() == 5);
}

TEST_CASE("head: request heads that are malformed: refused", "[unit]") {
  for (const char *Head :
       {"GET x HTTP/1.1\r\nHost: a\r\n\r\n", "GET / HTTP/2.0\r\n\r\n",
        "nonsense\r\n\r\n", "GET / HTTP/1.1\r\nBad Name: x\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: a\r\n", "\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: a\r\n\r\nX: 1\r\n\r\n",
        "GET /\x80 HTTP/1.1\r\n\r\n"}) {
    INFO(Head);
    CHECK_FALSE(parseRequestHead(Head).has_value());
  }
}

// Guards against a status that POCO's type cannot hold.
TEST_CASE("head: response heads: a status that is none is refused", "[unit]") {
  for (const char *Line : {"HTTP/1.1 200 OK", "HTTP/1.1 511 x", "HTTP/1.0 100",
                           "HTTP/1.1 204 ", "HTTP/1.1 204 No Content"}) {
    INFO(Line);
    CHECK(parseResponseHead(std::string(Line) + "\r\n\r\n").has_value());
  }
  for (const char *Line :
       {"HTTP/1.1 583 x", "HTTP/1.1 -5 x", "HTTP/1.1 99 x", "HTTP/1.1 99999 x",
        "HTTP/1.1 2x0 x", "HTTP/1.1", "HTTP/1.1 ", "HTTP/1.1 000 x",
        "HTTP/1.1 00 x", "HTTP/1.1 0 x", "HTTP/1.1 099 x", "HTTP/1.1 0200 x",
        "HTTP/1.1 600 x", "HTTP/1.1 999 x", "HTTP/1.1 +200 x", "HTTP/1.1 OK",
        // One blank separates the parts of the line (RFC 9112, 4).
        "HTTP/1.1  204 No Content", "HTTP/1.1\t204 x", " HTTP/1.1 204 x"}) {
    INFO(Line);
    CHECK_FALSE(parseResponseHead(std::string(Line) + "\r\n\r\n").has_value());
  }
}

// Guards against a head of which thousands of fields are searched one by one.
TEST_CASE("head: more fields than are looked up: refused", "[unit]") {
  std::string Head = "GET / HTTP/1.1\r\n";
  for (int I = 0; I < 100; ++I)
    Head += "X: 1\r\n";
  CHECK(parseRequestHead(Head + "\r\n").has_value());
  CHECK_FALSE(parseRequestHead(Head + "X: 1\r\n\r\n").has_value());
}

// Guards against a wait for the rest of what can be no head any more.
TEST_CASE("head: bytes that have come in part: refused once no further byte "
          "makes them a head",
          "[unit]") {
  const std::string Sound = "HTTP/1.1 200 OK\r\nX-A: b\r\nX-C: d\r\n\r";
  for (std::size_t Length = 0; Length <= Sound.size(); ++Length)
    CHECK(mayBecomeHead(Sound.substr(0, Length)));
  for (const char *Bytes :
       {"HTTP/1.1 200 OK\n", "HTTP/1.1 200 OK\rX", "\r\nHTTP/1.1 200",
        "HTTP/1.1 200 OK\r\nX A: b\r\n", "HTTP/1.1 200 OK\r\n\x01",
        "HTTP/1.1 200 OK\r\nX-A: b\r\n folded\r\n", "a\r\r"}) {
    INFO(Bytes);
    CHECK_FALSE(mayBecomeHead(Bytes));
  }
}

TEST_CASE("head: interim responses ahead of the final one: skipped, or refused",
          "[unit]") {
  std::optional<Poco::Net::HTTPResponse> Head;
  std::string Bytes = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
                      "HTTP/1.1 200 OK\r\nX-A: b\r\n\r\nbody";
  REQUIRE(ResponseHeadReader().take(Bytes, Head) ==
          ResponseHeadReader::Result::Complete);
  CHECK(Head->get("X-A") == "b");
  CHECK(Bytes == "body");
  Bytes = "HTTP/1.1 103 Early Hints\r\nLink\nX: a\r\n\r\n"
          "HTTP/1.1 200 OK\r\n\r\n";
  CHECK(ResponseHeadReader().take(Bytes, Head) ==
        ResponseHeadReader::Result::Invalid);
  // Lines that end at LF alone; no empty line is to come.
  Bytes = "HTTP/1.1 200 OK\nX-A: b\n\nbody";
  CHECK(ResponseHeadReader().take(Bytes, Head) ==
        ResponseHeadReader::Result::Invalid);
}

} // namespace waycove::test
