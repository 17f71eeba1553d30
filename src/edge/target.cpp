// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "edge/target.h"

#include "base/json.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/Net/NetException.h>

namespace waycove {

namespace {

constexpr Millis OrderTimeout(1000);
constexpr Millis ReportTimeout(400);
constexpr Millis CancelTimeout(500);
constexpr std::size_t MaxLineBytes = 64 << 10;
/// Max lines of other requests before the attempt fails.
constexpr unsigned MaxForeignLines = 1000;
constexpr std::size_t MaxClients = 20000;
constexpr ByteCounters HealthBytes{Counter::HealthBytesIn,
                                   Counter::HealthBytesOut};
constexpr ByteCounters TargetBytes{Counter::TargetBytesIn,
                                   Counter::TargetBytesOut};

/// Reads one line. Returns false where the stream ends before a newline or the
/// line exceeds MaxLineBytes.
bool readLine(std::istream &In, std::string &Line) {
  Line.clear();
  for (int C = In.get(); C != std::char_traits<char>::eof(); C = In.get()) {
    if (C == '\n')
      return true;
    if (Line.size() >= MaxLineBytes)
      return false;
    Line.push_back(static_cast<char>(C));
  }
  return false;
}

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

/// Reads a response line by line, calling \p OnToken for each token, until its
/// last line, a failure or the deadline.
AttemptOutcome readResponse(std::istream &In, const EngineCall &Call,
                            const TokenHandler &OnToken, EngineDone &Done) {
  std::string Line;
  unsigned ForeignLines = 0;
  while (readLine(In, Line)) {
    absl::StatusOr<JsonObject> Fields = parseJson(Line);
    if (!Fields.ok())
      return AttemptOutcome::Broken;
    // Skip late lines of other requests.
    if (textAt(*Fields, "request") != Call.Request.Text) {
      if (++ForeignLines > MaxForeignLines)
        return AttemptOutcome::Broken;
      continue;
    }
    if (flagAt(*Fields, "done", false)) {
      Done.Tokens = numberAt(*Fields, "tokens");
      Done.Queue = static_cast<double>(numberAt(*Fields, "queue"));
      return AttemptOutcome::Done;
    }
    EngineToken Token{Call.Request, numberAt(*Fields, "index", UINT64_MAX),
                      textAt(*Fields, "text"),
                      Fence(numberAt(*Fields, "group")),
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
    if (BootClock::now() >= Call.Deadline)
      return AttemptOutcome::Stalled;
  }
  return AttemptOutcome::Broken;
}

} // namespace

AttemptOutcome HttpEngine::generate(const EngineCall &Call,
                                    const TokenHandler &OnToken,
                                    EngineDone &Done) {
  bool Sent = false;
  try {
    WholeBodySession Session(Call.Address.Host, Call.Address.Port);
    auto Remaining =
        std::chrono::duration_cast<Millis>(Call.Deadline - BootClock::now());
    Millis Stall = std::clamp(Remaining, Millis(1), Call.Stall);
    Session.setTimeout(timespanOf(this->Config.ConnectTimeout),
                       timespanOf(Stall), timespanOf(Stall));
    std::string Body = generateBody(Call);
    Poco::Net::HTTPRequest Request("POST", "/v1/generate",
                                   Poco::Net::HTTPMessage::HTTP_1_1);
    Request.setContentType("application/json");
    Request.setContentLength(static_cast<std::streamsize>(Body.size()));
    Request.set("X-Request-Id", Call.Request.Text);
    Session.open();
    Sent = true;
    std::ostream &Out = Session.sendRequest(Request);
    Out << Body;
    Poco::Net::HTTPResponse Response;
    std::istream &In = Session.receiveResponse(Response);
    Done.Leaving = Response.get("X-Waycove-Leaving", "") == "yes";
    if (Response.getStatus() != Poco::Net::HTTPResponse::HTTP_OK) {
      Done.Reason = "status " + std::to_string(Response.getStatus());
      return Response.get("X-Waycove-Not-Run", "") == "yes"
                 ? AttemptOutcome::Refused
                 : AttemptOutcome::Broken;
    }
    AttemptOutcome End = readResponse(In, Call, OnToken, Done);
    // The stream reports only its end; the session has the cause.
    bool TimedOut = dynamic_cast<const Poco::TimeoutException *>(
                        Session.networkException()) != nullptr;
    if (End != AttemptOutcome::Broken || !TimedOut)
      return End;
    Done.Reason = "no token in time";
    return AttemptOutcome::Stalled;
  } catch (const Poco::TimeoutException &Error) {
    Done.Reason = Error.displayText();
    return Sent ? AttemptOutcome::Stalled : AttemptOutcome::NotSent;
  } catch (const Poco::Exception &Error) {
    Done.Reason = Error.displayText();
    return Sent ? AttemptOutcome::Broken : AttemptOutcome::NotSent;
  }
}

void HttpEngine::cancel(const VmAddress &At, const RequestId &Request) {
  Metrics Unused;
  HttpClient Client({At.Host, At.Port}, this->Config.ConnectTimeout, Unused,
                    TargetBytes);
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
    Client = std::make_shared<HttpClient>(Endpoint{At.Host, At.Port},
                                          this->Config.ConnectTimeout,
                                          this->Counters, HealthBytes);
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
