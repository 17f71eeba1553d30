// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// Contracts of the caller, operator and peer interfaces, with bad input.
#include "base/metrics.h"
#include "policy/objects.h"
#include "support/cluster.h"
#include "wire/frame.h"

#include <Poco/Exception.h>
#include <Poco/Net/StreamSocket.h>
#include <array>
#include <catch2/catch.hpp>
#include <csignal>
#include <fstream>

namespace waycove::test {

struct EdgeFixture {
  EdgeFixture() {
    this->Run.ExtraSettings = "max_body_bytes: 4096";
    this->Run.addVms("s", 1, "a", "s", "ledger");
    this->Run.addNode("n1", "a");
    this->Run.start();
    publishUsual(this->Run, "n1", "a: 0");
    REQUIRE(eventually(
        [&] { return this->Run.callService("n1", "").Status == 200; }));
  }
  /// Requests that the target has run.
  std::uint64_t runs() {
    return this->Run.atVm("s-1", {.Path = "/counts"}).number("calls");
  }
  Cluster Run;
};

struct CallerCase {
  const char *Name;
  HttpRequest Question;
  int Status;
  const char *Kind;
};

TEST_CASE_METHOD(EdgeFixture,
                 "caller: each bad input: an error from the closed list",
                 "[contract]") {
  std::map<std::string, std::string> Key{{"Authorization", "Bearer w1-key"}};
  auto With = [&](const std::string &Name, const std::string &Value) {
    auto Headers = Key;
    Headers[Name] = Value;
    return Headers;
  };
  const std::string Model = "/v1/models/model/generate";
  const std::string Sale = "/v1/services/ledger/sale";
  for (const CallerCase &Row : std::vector<CallerCase>{
           {"no key", {"POST", Model, "{}", {}}, 401, "unauthenticated"},
           {"wrong key",
            {"POST", Sale, "", {{"Authorization", "Bearer nobody"}}},
            401,
            "unauthenticated"},
           {"not bearer",
            {"POST", Sale, "", {{"Authorization", "Basic w1-key"}}},
            401,
            "unauthenticated"},
           {"unknown path", {"GET", "/v2/x", "", Key}, 404, "not_found"},
           {"unknown service",
            {"GET", "/v1/services/nobody/x", "", Key},
            404,
            "not_found"},
           {"unknown model",
            {"POST", "/v1/models/none/generate", R"({"prompt":"x"})", Key},
            404,
            "not_found"},
           {"no JSON", {"POST", Model, "{", Key}, 400, "bad_request"},
           {"JSON list", {"POST", Model, "[]", Key}, 400, "bad_request"},
           {"no prompt", {"POST", Model, "{}", Key}, 400, "bad_request"},
           {"prompt a number",
            {"POST", Model, R"({"prompt":5})", Key},
            400,
            "bad_request"},
           {"no tokens",
            {"POST", Model, R"({"prompt":"x","max_tokens":0})", Key},
            400,
            "bad_request"},
           {"too many tokens",
            {"POST", Model, R"({"prompt":"x","max_tokens":99999999})", Key},
            400,
            "bad_request"},
           {"GET a model", {"GET", Model, "", Key}, 400, "bad_request"},
           {"large body",
            {"POST", Sale, std::string(5000, 'x'), Key},
            413,
            "too_large"},
           {"bad labels",
            {"POST", Sale, "", With("X-Waycove-Labels", "a=,b")},
            400,
            "bad_request"},
           {"bad priority",
            {"POST", Sale, "", With("X-Waycove-Priority", "10")},
            400,
            "bad_request"},
           {"bad deadline",
            {"POST", Sale, "", With("X-Waycove-Deadline-Ms", "-1")},
            400,
            "bad_request"},
           {"bad request id",
            {"POST", Sale, "", With("X-Request-Id", "a b")},
            400,
            "bad_request"},
           {"bad repeatable",
            {"POST", Sale, "", With("X-Waycove-Repeatable", "maybe")},
            400,
            "bad_request"},
           {"bad key",
            {"POST", Sale, "", With("Idempotency-Key", "x")},
            400,
            "key_invalid"},
       }) {
    INFO(Row.Name);
    Reply Answer = this->Run.ask("n1", Row.Question);
    INFO(Answer.Body);
    CHECK(Answer.Status == Row.Status);
    CHECK(Answer.error() == Row.Kind);
    CHECK(Answer.error("ran") == "no");
  }
  CHECK(this->Run.callService("n1", "").Status == 200);
}

TEST_CASE_METHOD(EdgeFixture,
                 "caller: raw noise, cut and slow requests: the daemon goes on",
                 "[contract]") {
  for (const std::string &Bytes : std::vector<std::string>{
           std::string(100000, 'A'), std::string("\0\1\2\3\r\n\r\n", 8),
           "POST /v1/services/ledger/x HTTP/1.1\r\nContent-Length: 50\r\n\r\nx",
           "GET / HTTP/1.1\r\n" + std::string(20000, 'h') + ": v\r\n\r\n",
           "GET / HTTP/9.9\r\n\r\n", "\r\n\r\n\r\n",
           std::string("POST /v1/services/ledger/x HTTP/1.1\r\n") +
               "Transfer-Encoding: chunked\r\n\r\nzz\r\n"}) {
    Poco::Net::StreamSocket Socket(
        Poco::Net::SocketAddress("127.0.0.1", this->Run.httpPort("n1")));
    try {
      Socket.sendBytes(Bytes.data(), static_cast<int>(Bytes.size()));
    } catch (const Poco::Exception &) {
      // The daemon may close before all is sent.
      continue;
    }
  }
  CHECK(this->Run.callService("n1", "").Status == 200);
}

/// Sends \p Bytes on one connection and counts the status lines that come back
/// until the connection ends or stays quiet.
std::size_t statusLinesFor(std::uint16_t Port, const std::string &Bytes) {
  Poco::Net::StreamSocket Socket(Poco::Net::SocketAddress("127.0.0.1", Port));
  Socket.setReceiveTimeout(Poco::Timespan(1, 500000));
  Socket.sendBytes(Bytes.data(), static_cast<int>(Bytes.size()));
  std::string Answer;
  std::array<char, 4096> Part{};
  try {
    while (int Got = Socket.receiveBytes(Part.data(), Part.size()))
      Answer.append(Part.data(), static_cast<std::size_t>(Got));
  } catch (const Poco::Exception &) {
    // Quiet or reset: what came until then counts.
  }
  std::size_t Count = 0;
  for (std::size_t At = Answer.find("HTTP/1.1 "); At != std::string::npos;
       At = Answer.find("HTTP/1.1 ", At + 1))
    ++Count;
  return Count;
}

TEST_CASE_METHOD(EdgeFixture,
                 "caller: a refused request's body: is not taken for a request",
                 "[contract]") {
  const std::string Hidden = "GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n";
  const std::string Refused =
      "POST /v1/services/ledger/sale HTTP/1.1\r\nHost: x\r\n"
      "Authorization: Bearer nobody\r\nContent-Length: " +
      std::to_string(Hidden.size()) + "\r\n\r\n" + Hidden;
  CHECK(statusLinesFor(this->Run.httpPort("n1"), Refused) == 1);
}

TEST_CASE_METHOD(EdgeFixture,
                 "caller: length and chunks at once: one refusal, then closed",
                 "[contract]") {
  const std::string Two =
      "POST /v1/services/ledger/sale HTTP/1.1\r\nHost: x\r\n"
      "Authorization: Bearer w1-key\r\nContent-Length: 4\r\n"
      "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
      "GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n";
  CHECK(statusLinesFor(this->Run.httpPort("n1"), Two) == 1);
  Poco::Net::StreamSocket Socket(
      Poco::Net::SocketAddress("127.0.0.1", this->Run.httpPort("n1")));
  Socket.sendBytes(Two.data(), static_cast<int>(Two.size()));
  std::array<char, 12> Head{};
  REQUIRE(Socket.receiveBytes(Head.data(), Head.size()) == 12);
  CHECK(std::string(Head.data(), Head.size()) == "HTTP/1.1 400");
}

// Guards against the body of a request that is run as a second request, and
// against a body that is run in part.
TEST_CASE_METHOD(EdgeFixture,
                 "caller: a line that is no field, or chunks that are cut: "
                 "refused once, and no target runs anything",
                 "[contract]") {
  const std::string Head = "POST /v1/services/ledger/sale HTTP/1.1\r\nHost: x"
                           "\r\nAuthorization: Bearer w1-key\r\n";
  const std::string Hidden = Head + "Content-Length: 0\r\n\r\n";
  const std::string Framed =
      "Content-Length: " + std::to_string(Hidden.size()) + "\r\n\r\n" + Hidden;
  REQUIRE(this->Run.callService("n1", "").Status == 200);
  std::uint64_t RunsBefore = this->runs();
  for (const char *Line :
       {"X\nOdd: 1", "X-A: 1\rOdd: 1", " Odd: 1", "Odd one: 1",
        "X-A: 1\r\n odd", "\rX-A: 1", "\nX-A: 1", "\n", "X-A: a\x01z",
        "nothing", "Transfer-Encoding: =?utf-8?Q?chunked?="}) {
    INFO(Line);
    CHECK(statusLinesFor(this->Run.httpPort("n1"),
                         std::string(Head).append(Line).append("\r\n").append(
                             Framed)) == 1);
  }
  const std::string Chunked = Head + "Transfer-Encoding: chunked\r\n\r\n";
  for (const char *Chunks :
       {"4\r\nbody\r\nzz\r\n", "4;a\nb\r\nbody\r\n0\r\n\r\n",
        "4\r\nbodyX\r\n0\r\n\r\n", "4\nbody\n0\n\n",
        "4\r\nbody\r\n0\r\nX\nOdd: 1\r\n\r\n"}) {
    INFO(Chunks);
    CHECK(statusLinesFor(this->Run.httpPort("n1"), Chunked + Chunks) == 1);
  }
  // A caller that ends within its chunks.
  Poco::Net::StreamSocket Leaving(
      Poco::Net::SocketAddress("127.0.0.1", this->Run.httpPort("n1")));
  const std::string Cut = Chunked + "4\r\nbody\r\n4\r\nbo";
  Leaving.sendBytes(Cut.data(), static_cast<int>(Cut.size()));
  Leaving.shutdownSend();
  std::array<char, 12> Status{};
  REQUIRE(Leaving.receiveBytes(Status.data(), Status.size()) == 12);
  CHECK(std::string(Status.data(), Status.size()) == "HTTP/1.1 400");
  CHECK(this->runs() == RunsBefore);
}

// Guards against requests that wait for bytes that have come with others.
TEST_CASE_METHOD(EdgeFixture,
                 "caller: requests that follow on one another: each is served",
                 "[contract]") {
  const std::string Head = "POST /v1/services/ledger/sale HTTP/1.1\r\nHost: x"
                           "\r\nAuthorization: Bearer w1-key\r\n";
  const std::string Sound = Head + "Content-Length: 4\r\n\r\nbody";
  const std::string Chunked =
      Head +
      "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX-A: 1\r\n\r\n";
  CHECK(statusLinesFor(this->Run.httpPort("n1"),
                       Sound + Chunked + Sound + "odd\r\n\r\n") == 4);
}

// Guards against a request without a length that takes the next one for its
// body.
TEST_CASE_METHOD(EdgeFixture,
                 "caller: a request without a length: it has no body, and the "
                 "next one is served",
                 "[contract]") {
  const std::string Head = "POST /v1/services/ledger/sale HTTP/1.1\r\nHost: x"
                           "\r\nAuthorization: Bearer w1-key\r\n";
  const std::uint64_t RunsBefore = this->runs();
  CHECK(statusLinesFor(this->Run.httpPort("n1"),
                       Head + "\r\n" + Head +
                           "Content-Length: 4\r\n\r\nbody") == 2);
  CHECK(this->runs() == RunsBefore + 2);
}

struct PublishCase {
  const char *Kind;
  const char *Name;
  const char *Spec;
  int Status;
  const char *Error;
};

TEST_CASE_METHOD(EdgeFixture,
                 "operator: each bad publication: refused with its reason",
                 "[contract]") {
  for (const PublishCase &Row : std::vector<PublishCase>{
           {"robot", "x", "{}", 422, "invalid_object"},
           {"selector", "bad name", "{}", 422, "invalid_object"},
           {"selector", "x", "{mtach: {a: [b]}}", 422, "invalid_object"},
           {"selector", "x", "{match: {a: []}}", 422, "invalid_object"},
           {"deployment", "x", "{model: m}", 422, "invalid_object"},
           {"service", "x", "{workspaces: {}}", 422, "invalid_object"},
           {"workspace", "x", "{key_digest: abc}", 422, "invalid_object"},
           {"drain", "x", "{}", 422, "invalid_object"},
           {"selector", "x", "[", 422, "invalid_object"},
       }) {
    INFO(Row.Kind << " " << Row.Spec);
    Reply Answer = this->Run.apply("n1", Row.Kind, Row.Name, Row.Spec, 0);
    CHECK(Answer.Status == Row.Status);
    CHECK(Answer.error() == Row.Error);
    CHECK(Answer.error("message").find("expected") != std::string::npos);
  }
  // Another workspace cannot have the same key.
  CHECK(this->Run
            .apply("n1", "workspace", "thief",
                   "{key_digest: " + digestKey("w1-key") + "}", 0)
            .error() == "conflict");
  for (const char *Path :
       {"/operator/v1/status", "/operator/v1/objects", "/operator/v1/events"})
    CHECK(
        this->Run.ask("n1", {"GET", Path, "", {{"Authorization", "Bearer w1"}}})
            .error() == "unauthenticated");
}

TEST_CASE_METHOD(EdgeFixture,
                 "peer: noise, unknown and damaged frames: the daemon goes on",
                 "[contract]") {
  std::string Good = packFrame(makeFrame(1, wire::RecordsWantedT()));
  auto Framed = [](const std::string &Bytes, std::uint32_t Size) {
    std::string Out(4, '\0');
    for (int I = 0; I < 4; ++I)
      Out[static_cast<std::size_t>(I)] =
          static_cast<char>((Size >> (8 * I)) & 0xFF);
    return Out + Bytes;
  };
  for (const std::string &Bytes : std::vector<std::string>{
           std::string(500, '\xff'), Framed("", 0), Framed("junk", 4),
           Framed(Good, 0x7fffffff),
           Framed(Good, static_cast<std::uint32_t>(Good.size())),
           Framed(Good.substr(0, 9), 9)}) {
    Poco::Net::StreamSocket Socket(
        Poco::Net::SocketAddress("127.0.0.1", this->Run.peerPort("n1")));
    Socket.sendBytes(Bytes.data(), static_cast<int>(Bytes.size()));
  }
  CHECK(this->Run.callService("n1", "").Status == 200);
  // A forwarded request without a known workspace lands nowhere.
  Metrics Unused;
  FrameSocket Frames(Poco::Net::StreamSocket(Poco::Net::SocketAddress(
                         "127.0.0.1", this->Run.peerPort("n1"))),
                     Unused);
  wire::ForwardT Asked;
  Asked.kind = static_cast<std::uint8_t>(ObjectKind::Service);
  Asked.name = "ledger";
  Asked.workspace = "nobody";
  Asked.deadline_ms = 1000;
  wire::FrameT Frame = makeFrame(1, std::move(Asked));
  REQUIRE(Frames.send(Frame));
  auto Answer = Frames.receive(Millis(3000));
  REQUIRE(Answer.ok());
  REQUIRE(Answer->message.AsForwardHead());
  CHECK(Answer->message.AsForwardHead()->status == 403);
}

TEST_CASE_METHOD(EdgeFixture,
                 "programs: checks, statuses and outputs of the command line",
                 "[contract]") {
  auto RunTool = [&](const std::vector<std::string> &Words) {
    std::vector<std::string> Command{
        std::string(WAYCOVE_BUILD) + "/waycove", "--key=op",
        "--server=127.0.0.1:" + std::to_string(this->Run.httpPort("n1"))};
    Command.insert(Command.end(), Words.begin(), Words.end());
    Process Tool(Command, this->Run.folder() + "/tool.log");
    return Tool.wait(std::chrono::seconds(20));
  };
  std::string Source(WAYCOVE_SOURCE);
  std::string Bad = this->Run.folder() + "/bad.yaml";
  std::ofstream(Bad) << "kind: selector\nname: x\nspec: {mach: {a: [b]}}\n";
  std::string Good = this->Run.folder() + "/good.yaml";
  std::ofstream(Good) << "kind: selector\nname: x\nspec: {match: {a: [b]}}\n";
  CHECK(RunTool({"check", Source + "/examples/local/objects.yaml",
                 Source + "/examples/local/burnaby-1.yaml"}) == 0);
  CHECK(RunTool({"check", Bad}) == 2);
  CHECK(this->Run.logOf("tool").find("bad.yaml:3: spec.mach") !=
        std::string::npos);
  CHECK(RunTool({"apply", Bad}) == 2);
  CHECK(RunTool({"diff", Good}) == 1);
  CHECK(RunTool({"apply", Good}) == 0);
  CHECK(RunTool({"diff", Good}) == 0);
  CHECK(RunTool({"apply", Good, "--base=99"}) == 1);
  CHECK(RunTool({"get", "selector", "x"}) == 0);
  CHECK(RunTool({"get", "selector", "none"}) == 1);
  CHECK(RunTool({"delete", "selector", "x"}) == 0);
  CHECK(RunTool({"drain", "s-1"}) == 0);
  CHECK(RunTool({"undrain", "s-1"}) == 0);
  for (const char *Name : {"status", "timeline", "version", "bench"})
    CHECK(RunTool({Name}) == 0);
  CHECK(RunTool({"timeline", "chrome"}) == 0);
  CHECK(RunTool({"nonsense"}) == 2);
  CHECK(RunTool({"status", "--server=127.0.0.1:9"}) == 3);
  Process Daemon({std::string(WAYCOVE_BUILD) + "/waycoved", "--check_settings",
                  "--settings=" + Bad},
                 this->Run.folder() + "/daemon.log");
  CHECK(Daemon.wait(std::chrono::seconds(10)) == 2);
}

} // namespace waycove::test
