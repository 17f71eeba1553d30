// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// HTTP message framing: the end of a body, ambiguous bodies, whole events.
#include "net/framing.h"
#include "net/head.h"

#include <catch2/catch.hpp>

namespace waycove::test {

namespace {

std::optional<BodyDecoder> decoderFor(const std::string &Fields) {
  auto Head =
      parseRequestHead("POST /x/ HTTP/1.1\r\nHost: a\r\n" + Fields + "\r\n");
  return Head ? requestBody(*Head) : std::nullopt;
}

} // namespace

TEST_CASE("framing: ambiguous bodies: refused, each kind", "[unit]") {
  for (const char *Fields :
       {"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
        "Content-Length: 4\r\nContent-Length: 4\r\n", "Content-Length: 4x\r\n",
        "Content-Length: -1\r\n", "Transfer-Encoding: gzip\r\n",
        "Transfer-Encoding: chunked, chunked\r\n", "Content-Length : 4\r\n"}) {
    INFO(Fields);
    CHECK_FALSE(decoderFor(Fields).has_value());
  }
}

// Guards against chunks that a proxy of HTTP/1.0 takes for another body.
TEST_CASE("framing: chunks in a request of HTTP/1.0: refused", "[unit]") {
  const std::string Fields = "Host: a\r\nTransfer-Encoding: chunked\r\n\r\n";
  CHECK(requestBody(*parseRequestHead("POST / HTTP/1.1\r\n" + Fields)));
  CHECK_FALSE(requestBody(*parseRequestHead("POST / HTTP/1.0\r\n" + Fields)));
}

TEST_CASE("framing: chunks in any pieces: the same payload, rest left alone",
          "[unit]") {
  const std::string Bytes = "4;x=y\r\nwhol\r\n2\r\ne!\r\n0\r\nT: v\r\n\r\nNEXT";
  for (std::size_t Step = 1; Step < Bytes.size(); ++Step) {
    BodyDecoder Body(Framing::Chunked, 0);
    std::string Input;
    std::string Payload;
    for (std::size_t At = 0; At < Bytes.size(); At += Step) {
      Input += Bytes.substr(At, Step);
      Body.feed(Input, Payload);
    }
    CHECK(Body.isDone());
    CHECK(Payload == "whole!");
    CHECK(Input == "NEXT");
  }
}

TEST_CASE("framing: damaged chunks: bad, never done", "[unit]") {
  for (const char *Bytes : {"zz\r\n", "4\r\nwholX\r\n", "\r\n"}) {
    INFO(Bytes);
    BodyDecoder Body(Framing::Chunked, 0);
    std::string Input = Bytes;
    std::string Payload;
    Body.feed(Input, Payload);
    CHECK(Body.isMalformed());
    CHECK_FALSE(Body.isDone());
  }
}

// Guards against a bound that holds only for bytes that come in pieces.
TEST_CASE("framing: a chunk's size line is too long: refused, also at once",
          "[unit]") {
  const std::string Bytes =
      "4;" + std::string(2000, 'x') + "\r\nwhol\r\n0\r\n\r\n";
  for (std::size_t Step : {std::size_t(7), Bytes.size()}) {
    BodyDecoder Body(Framing::Chunked, 0);
    std::string Input;
    std::string Payload;
    for (std::size_t At = 0; At < Bytes.size(); At += Step) {
      Input += Bytes.substr(At, Step);
      Body.feed(Input, Payload);
    }
    CHECK(Body.isMalformed());
    CHECK(Payload.empty());
  }
}

TEST_CASE("framing: a body without length: done only by an orderly close",
          "[unit]") {
  BodyDecoder Body(Framing::UntilClose, 0);
  std::string Input = "part";
  std::string Payload;
  Body.feed(Input, Payload);
  CHECK_FALSE(Body.isDone());
  Body.close();
  CHECK(Body.isDone());
  CHECK(Payload == "part");
}

TEST_CASE("framing: event streams: whole events only, with their ids",
          "[unit]") {
  std::string Buffer = "id: 7\ndata: a\n\nx-weight-versions: 2\nid: 8\r\ndata: "
                       "b\r\n\r\nid: 9\ndata: c\n";
  auto First = takeEvent(Buffer);
  REQUIRE(First);
  CHECK(First->Id == 7U);
  CHECK(First->Bytes == "id: 7\ndata: a\n\n");
  auto Second = takeEvent(Buffer);
  REQUIRE(Second);
  CHECK(Second->Id == 8U);
  CHECK_FALSE(takeEvent(Buffer));
  CHECK(Buffer == "id: 9\ndata: c\n");
}

TEST_CASE("framing: fields of one connection: not copied", "[unit]") {
  Poco::Net::MessageHeader From;
  From.add("Connection", "close, X-Mine");
  From.add("X-Mine", "1");
  From.add("Transfer-Encoding", "chunked");
  From.add("X-Other", "2");
  From.add("X-Other", "3");
  Poco::Net::MessageHeader Out;
  copyEndToEnd(From, Out);
  CHECK(Out.size() == 2);
  CHECK(Out.get("X-Other") == "2");
}

} // namespace waycove::test
