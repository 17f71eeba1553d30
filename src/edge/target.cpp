// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "edge/target.h"

#include "base/json.h"
#include "net/response_reader.h"

#include <Poco/JSON/Array.h>
#include <sstream>

namespace waycove {

namespace {

constexpr Millis OrderTimeout(1000);
constexpr Millis ReportTimeout(400);
constexpr Millis CancelTimeout(500);
constexpr std::size_t MaxLineBytes = 64 << 10;
/// Max bytes in lines of other requests before the attempt fails.
constexpr std::size_t MaxForeignBytes = 1 << 20;
/// Replies to orders and reports are a few hundred bytes.
constexpr ReplyBounds ControlReply{.BodyBytes = 1 << 20};
constexpr std::size_t MaxClients = 20000;
constexpr ByteCounters HealthBytes{Counter::HealthBytesIn,
                                   Counter::HealthBytesOut};
constexpr ByteCounters TargetBytes{Counter::TargetBytesIn,
                                   Counter::TargetBytesOut};

std::string generateBody(const EngineCall &Call) {
  Poco::JSON::Object Body;
  Body.set("request", Call.Request.Text);
  Body.set("group", Call.Group.Value);
  Body.set("prompt", Call.Prompt);
  Body.set("max_tokens", Call.MaxTokens);
  Body.set("resume_from", Call.ResumeFrom);
  Body.set("prefix", Call.Prefix);
  Body.set("priority", Call.Priority);
  return dumpJson(Body);
}

std::string generateRequest(const EngineCall &Call) {
  std::string Body = generateBody(Call);
  Poco::Net::HTTPRequest Request("POST", "/v1/generate",
                                 Poco::Net::HTTPMessage::HTTP_1_1);
  Request.setHost(Call.Address.Host, Call.Address.Port);
  Request.setContentType("application/json");
  Request.setContentLength(static_cast<std::streamsize>(Body.size()));
  Request.set("X-Request-Id", Call.Request.Text);
  std::ostringstream Out;
  Request.write(Out);
  return Out.str() + Body;
}

/// Reads an engine's response line by line, until its last line, a failure, or
/// no token in time.
class TokenReader {
public:
  TokenReader(Channel &From, const EngineCall &Call)
      : Call(Call), Response(From, "POST",
                             {this->nextStall(), Call.Stall,
                              std::numeric_limits<std::size_t>::max()}) {}

  /// Calls \p OnToken for each token.
  AttemptOutcome read(const TokenHandler &OnToken, EngineDone &Done) {
    if (ReadResult Read = this->Response.readHead(); Read != ReadResult::Done)
      return fail(Read, Done);
    const Poco::Net::HTTPResponse &Head = this->Response.head();
    Done.Leaving = Head.get("X-Waycove-Leaving", "") == "yes";
    if (Head.getStatus() != Poco::Net::HTTPResponse::HTTP_OK) {
      Done.Reason = "status " + std::to_string(Head.getStatus());
      return Head.get("X-Waycove-Not-Run", "") == "yes"
                 ? AttemptOutcome::Refused
                 : AttemptOutcome::Broken;
    }
    while (true) {
      std::string Line;
      if (ReadResult Read = this->readLine(Line); Read != ReadResult::Done)
        return fail(Read, Done);
      if (auto End = this->handleLine(Line, OnToken, Done))
        return *End;
    }
  }

private:
  /// When the next token has to be there.
  TimePoint nextStall() const {
    return std::min<TimePoint>(this->Call.Deadline,
                               BootClock::now() + this->Call.Stall);
  }

  static AttemptOutcome fail(ReadResult Read, EngineDone &Done) {
    bool IsLate = Read == ReadResult::TimedOut || Read == ReadResult::Overlong;
    Done.Reason = IsLate ? "no token in time" : nameOf(Read);
    return IsLate ? AttemptOutcome::Stalled : AttemptOutcome::Broken;
  }

  /// Reads up to a newline. Done if there is one.
  ReadResult readLine(std::string &Line) {
    while (true) {
      if (std::size_t End = this->Unread.find('\n'); End != std::string::npos) {
        Line = this->Unread.substr(0, End);
        this->Unread.erase(0, End + 1);
        return ReadResult::Done;
      }
      if (this->Unread.size() > MaxLineBytes)
        return ReadResult::NoResponse;
      if (this->IsWhole)
        return ReadResult::Broken;
      ReadResult Read = this->Response.readSome(this->Unread);
      this->IsWhole = Read == ReadResult::Done;
      if (Read != ReadResult::More && Read != ReadResult::Done)
        return Read;
    }
  }

  /// Returns how the attempt ends, if it ends with this line.
  std::optional<AttemptOutcome> handleLine(const std::string &Line,
                                           const TokenHandler &OnToken,
                                           EngineDone &Done) {
    absl::StatusOr<JsonObject> Fields = parseJson(Line);
    if (!Fields.ok())
      return AttemptOutcome::Broken;
    // Skip late lines of other requests.
    if (textAt(*Fields, "request") != this->Call.Request.Text) {
      this->ForeignBytes += Line.size() + 1;
      if (this->ForeignBytes > MaxForeignBytes)
        return AttemptOutcome::Broken;
      return std::nullopt;
    }
    if (flagAt(*Fields, "done", false)) {
      Done.Tokens = numberAt(*Fields, "tokens");
      Done.Queue = static_cast<double>(numberAt(*Fields, "queue"));
      return AttemptOutcome::Done;
    }
    this->Response.setUntil(this->nextStall());
    EngineToken Token{
        this->Call.Request, numberAt(*Fields, "index", UINT64_MAX),
        textAt(*Fields, "text"), Fence(numberAt(*Fields, "group")),
        numberAt(*Fields, "members")};
    switch (OnToken(Token)) {
    case TokenVerdict::Accept:
    case TokenVerdict::Ignore:
      break;
    case TokenVerdict::CallerGone:
      return AttemptOutcome::CallerGone;
    case TokenVerdict::Reject:
      Done.Reason = "the answer is not of this group, whole and in order";
      return AttemptOutcome::Broken;
    }
    if (BootClock::now() >= this->Call.Deadline)
      return AttemptOutcome::Stalled;
    return std::nullopt;
  }

  const EngineCall &Call;
  ResponseReader Response;
  /// What has arrived and is no whole line yet.
  std::string Unread;
  bool IsWhole = false;
  std::size_t ForeignBytes = 0;
};

} // namespace

AttemptOutcome HttpEngine::generate(const EngineCall &Call,
                                    const TokenHandler &OnToken,
                                    EngineDone &Done) {
  std::optional<Channel> Connection;
  IoStatus Status = Channel::connect(
      Call.Address, BootClock::now() + this->Config.ConnectTimeout, Connection);
  if (Status != IoStatus::Ok) {
    Done.Reason = "no connection";
    return AttemptOutcome::NotSent;
  }
  TimePoint Until =
      std::min<TimePoint>(Call.Deadline, BootClock::now() + Call.Stall);
  Status = Connection->send(generateRequest(Call), Until);
  if (Status != IoStatus::Ok) {
    Done.Reason = "the request could not be sent";
    return Status == IoStatus::Timeout ? AttemptOutcome::Stalled
                                       : AttemptOutcome::Broken;
  }
  return TokenReader(*Connection, Call).read(OnToken, Done);
}

void HttpEngine::cancel(const VmAddress &At, const RequestId &Request) {
  Metrics Unused;
  HttpClient Client({At.Host, At.Port}, this->Config.ConnectTimeout, Unused,
                    TargetBytes, ControlReply);
  Poco::JSON::Object Body;
  Body.set("request", Request.Text);
  HttpCall Call{"POST", "/v1/cancel", dumpJson(Body), "", {}};
  // Best effort: a lost cancel only wastes the engine's work.
  Client.call(Call, CancelTimeout).status().IgnoreError();
}

std::shared_ptr<HttpClient> HttpEngineControl::clientFor(const VmAddress &At) {
  std::lock_guard Lock(this->Mutex);
  if (this->Clients.size() > MaxClients)
    this->Clients.clear();
  auto &Client = this->Clients[At.text()];
  if (!Client)
    Client = std::make_shared<HttpClient>(
        Endpoint{At.Host, At.Port}, this->Config.ConnectTimeout, this->Counters,
        HealthBytes, ControlReply);
  return Client;
}

absl::Status HttpEngineControl::order(const EngineOrder &Order) {
  Poco::JSON::Object Body;
  Body.set("group", Order.Group.Value);
  Body.set("deployment", Order.Deployment);
  Body.set("model", Order.Model);
  Body.set("version", Order.Version);
  Body.set("rank", Order.Rank);
  Poco::JSON::Array Members;
  for (const std::string &Member : Order.Members)
    Members.add(Member);
  Body.set("members", Members);
  HttpCall Call{"POST", "/v1/order", dumpJson(Body), "", {}};
  absl::StatusOr<HttpReply> Reply =
      this->clientFor(Order.Address)->call(Call, OrderTimeout);
  if (!Reply.ok())
    return Reply.status();
  if (Reply->Status != 200)
    return makeError(ErrorKind::TargetBusy,
                     "the order was refused: " + Reply->Body);
  return absl::OkStatus();
}

absl::StatusOr<MemberReport> HttpEngineControl::report(const VmAddress &At) {
  HttpCall Call{"GET", "/v1/state", "", "", {}};
  absl::StatusOr<HttpReply> Reply =
      this->clientFor(At)->call(Call, ReportTimeout);
  if (!Reply.ok())
    return Reply.status();
  absl::StatusOr<JsonObject> Body = parseJson(Reply->Body);
  if (!Body.ok())
    return Body.status();
  MemberReport Report;
  Report.Group = Fence(numberAt(*Body, "group"));
  Report.Loaded = textAt(*Body, "state") == "loaded";
  Report.Leaving = flagAt(*Body, "leaving", false);
  Report.Running = numberAt(*Body, "running");
  Report.Queue = static_cast<double>(numberAt(*Body, "queue"));
  return Report;
}

AttemptOutcome HttpPlainService::call(const PlainCall &Call, HttpReply &Reply) {
  HttpClient Client({Call.Address.Host, Call.Address.Port},
                    this->Config.ConnectTimeout, this->Counters, TargetBytes);
  HttpCall Http = Call.Http;
  Http.Headers.push_back({"X-Request-Id", Call.Request.Text});
  absl::StatusOr<HttpReply> Received = Client.call(Http, Call.Timeout);
  if (!Received.ok())
    return kindOf(Received.status()) == ErrorKind::NoCapacity
               ? AttemptOutcome::NotSent
               : AttemptOutcome::Broken;
  Reply = *Received;
  if (Reply.NotRun)
    return AttemptOutcome::Refused;
  // Discard a response to another request.
  if (!Reply.RequestId.empty() && Reply.RequestId != Call.Request.Text)
    return AttemptOutcome::Broken;
  return AttemptOutcome::Done;
}

} // namespace waycove
