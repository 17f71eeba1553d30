// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "edge/callers.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPChunkedStream.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/URI.h>
#include <algorithm>
#include <array>

namespace waycove {

namespace {

constexpr std::size_t MaxRequestId = 64;
constexpr std::uint64_t MaxTokensPerRequest = 1 << 20;
constexpr std::uint64_t DefaultMaxTokens = 256;
constexpr std::uint64_t MaxDeadlineMs = 3600000;
constexpr std::uint64_t MaxPriority = 9;
constexpr std::size_t MaxSession = 128;
/// Bounds on discarding an unread body: total bytes, and the timeout of each
/// read.
constexpr std::size_t MaxDiscardedBytes = 1 << 20;
constexpr Millis DiscardTimeout(200);
constexpr char ModelPrefix[] = "/v1/models/";
constexpr char ServicePrefix[] = "/v1/services/";
constexpr char GenerateSuffix[] = "/generate";

/// Parses an unsigned integer of at most \p Max from a header; \p Default where
/// it is absent.
absl::StatusOr<std::uint64_t>
numberHeader(const Poco::Net::HTTPServerRequest &Request,
             const std::string &Name, std::uint64_t Default,
             std::uint64_t Max) {
  std::string Text = Request.get(Name, "");
  if (Text.empty())
    return Default;
  bool Digits = Text.size() <= 12 &&
                Text.find_first_not_of("0123456789") == std::string::npos;
  std::uint64_t Value = Digits ? std::stoull(Text) : 0;
  if (!Digits || Value > Max)
    return makeError(ErrorKind::BadRequest,
                     Name + ": expected a whole number of at most " +
                         std::to_string(Max));
  return Value;
}

bool isPlainId(const std::string &Text, std::size_t Max) {
  return Text.size() <= Max &&
         std::all_of(Text.begin(), Text.end(), [](unsigned char C) {
           return std::isalnum(C) || C == '-' || C == '_' || C == '.';
         });
}

/// Sets the target, and for services the path, from the request's URI.
absl::Status readTarget(const std::string &Uri, CallerRequest &Out) {
  std::string Path = Uri.substr(0, Uri.find('?'));
  if (Path.rfind(ModelPrefix, 0) == 0 && Path.ends_with(GenerateSuffix) &&
      Path.size() > sizeof(ModelPrefix) + sizeof(GenerateSuffix) - 2) {
    std::size_t From = sizeof(ModelPrefix) - 1;
    std::string Name =
        Path.substr(From, Path.size() - From - (sizeof(GenerateSuffix) - 1));
    Out.Target = {ObjectKind::Deployment, Name};
    return absl::OkStatus();
  }
  if (Path.rfind(ServicePrefix, 0) == 0) {
    std::string Rest = Uri.substr(sizeof(ServicePrefix) - 1);
    std::size_t End = Rest.find_first_of("/?");
    Out.Target = {ObjectKind::Service, Rest.substr(0, End)};
    Out.Path = End == std::string::npos ? "/" : Rest.substr(End);
    if (Out.Path[0] != '/')
      Out.Path = std::string(1, '/').append(Out.Path);
    return absl::OkStatus();
  }
  return makeError(ErrorKind::NotFound, "no such path");
}

absl::Status readModelBody(CallerRequest &Out) {
  absl::StatusOr<JsonObject> Body = parseJson(Out.Body);
  if (!Body.ok())
    return Body.status();
  if (!(*Body)->get("prompt").isString())
    return makeError(ErrorKind::BadRequest, "prompt: expected a text");
  Out.Prompt = textAt(*Body, "prompt");
  Out.MaxTokens = numberAt(*Body, "max_tokens", DefaultMaxTokens);
  if (Out.MaxTokens == 0 || Out.MaxTokens > MaxTokensPerRequest)
    return makeError(ErrorKind::BadRequest,
                     "max_tokens: expected 1 to " +
                         std::to_string(MaxTokensPerRequest));
  Out.Stream = flagAt(*Body, "stream", false);
  return absl::OkStatus();
}

/// Sets whether the request may be sent more than once. X-Waycove-Repeatable
/// overrides the default of the deployment or service.
absl::Status readRepeatable(const Poco::Net::HTTPServerRequest &Request,
                            const Board &Tables, CallerRequest &Out) {
  bool Default = Out.Target.Kind == ObjectKind::Deployment;
  if (!Default)
    Default = Tables.State.read([&](const FoldState &State) {
      const auto *Spec =
          State.spec<Service>(ObjectKind::Service, Out.Target.Name);
      return Spec && std::find(Spec->RepeatableMethods.begin(),
                               Spec->RepeatableMethods.end(),
                               Out.Method) != Spec->RepeatableMethods.end();
    });
  std::string Text = Request.get("X-Waycove-Repeatable", "");
  if (!Text.empty() && Text != "yes" && Text != "no")
    return makeError(ErrorKind::BadRequest,
                     "X-Waycove-Repeatable: expected yes or no");
  Out.Repeatable = Text.empty() ? Default : Text == "yes";
  // A key always means at most once.
  if (!Out.Key.empty())
    Out.Repeatable = false;
  return absl::OkStatus();
}

/// The NotReady error. A request with a key may have run on another daemon, so
/// its outcome is unknown.
absl::Status notReady(const Poco::Net::HTTPServerRequest &Request) {
  absl::Status Status = makeError(
      ErrorKind::NotReady, "no current configuration yet", DefaultRetryAfter);
  return Request.has("Idempotency-Key") ? markOutcomeUnknown(Status) : Status;
}

absl::Status readHeaders(const Poco::Net::HTTPServerRequest &Request,
                         const Board &Tables, CallerRequest &Out) {
  Out.Id = RequestId(Request.get("X-Request-Id", ""));
  if (!isPlainId(Out.Id.Text, MaxRequestId))
    return makeError(ErrorKind::BadRequest,
                     "X-Request-Id: expected at most 64 letters, digits, "
                     "'-', '_' and '.'");
  // Make the id unique, as several callers may use the same one.
  if (!Out.Id.empty())
    Out.Id.Text.push_back('~');
  Out.Id.Text.append(randomId());
  Out.LabelsText = Request.get("X-Waycove-Labels", "");
  absl::StatusOr<Selector> Wanted = parseSelector(Out.LabelsText);
  if (!Wanted.ok())
    return Wanted.status();
  Out.Wanted = *Wanted;
  Out.Key = IdempotencyKey(Request.get("Idempotency-Key", ""));
  Out.Session = Request.get("X-Waycove-Session", "");
  if (Out.Session.size() > MaxSession)
    return makeError(ErrorKind::BadRequest, "X-Waycove-Session: too long");
  absl::StatusOr<std::uint64_t> Priority =
      numberHeader(Request, "X-Waycove-Priority", 0, MaxPriority);
  if (!Priority.ok())
    return Priority.status();
  Out.Priority = static_cast<unsigned>(*Priority);
  absl::StatusOr<std::uint64_t> Deadline = numberHeader(
      Request, "X-Waycove-Deadline-Ms",
      static_cast<std::uint64_t>(Tables.Config.DefaultDeadline.count()),
      MaxDeadlineMs);
  if (!Deadline.ok())
    return Deadline.status();
  Out.Deadline =
      SystemClock{}.now() + Millis(static_cast<std::int64_t>(*Deadline));
  return readRepeatable(Request, Tables, Out);
}

} // namespace

bool HttpSink::head(int Status, const std::string &Type, Millis Retry,
                    ResponseLength Length) {
  try {
    this->Response.setStatusAndReason(
        static_cast<Poco::Net::HTTPResponse::HTTPStatus>(Status));
    if (!Type.empty())
      this->Response.setContentType(Type);
    if (Retry.count() > 0)
      this->Response.set("Retry-After",
                         std::to_string((Retry.count() + 999) / 1000));
    bool Bodyless = Status == 204 || Status == 304;
    if (Length && !Bodyless)
      this->Response.setContentLength64(static_cast<std::int64_t>(*Length));
    this->Response.setChunkedTransferEncoding(!Length && !Bodyless);
    // An unread body would be parsed as the next request.
    if (!Length || !isBodyRead(this->Request))
      this->Response.setKeepAlive(false);
    this->Out = &this->Response.send();
    return this->Out->good();
  } catch (const Poco::Exception &) {
    return false;
  }
}

bool HttpSink::data(std::string_view Bytes) {
  if (!this->Out)
    return false;
  try {
    this->Out->write(Bytes.data(), static_cast<std::streamsize>(Bytes.size()));
    this->Out->flush();
    return this->Out->good();
  } catch (const Poco::Exception &) {
    return false;
  }
}

bool HttpSink::end() {
  if (!this->Out || !this->Out->good())
    return false;
  auto *Chunks = dynamic_cast<Poco::Net::HTTPChunkedOutputStream *>(this->Out);
  if (!Chunks)
    return true;
  try {
    // Send the last chunk here rather than when Poco destroys the stream, so
    // that a failure is reported. Poco would send it again: shut down sending.
    Chunks->rdbuf()->close();
    this->socket().shutdownSend();
    return Chunks->good();
  } catch (const Poco::Exception &) {
    return false;
  }
}

Poco::Net::StreamSocket &HttpSink::socket() {
  return dynamic_cast<Poco::Net::HTTPServerRequestImpl &>(this->Request)
      .socket();
}

void HttpSink::cut() {
  this->Response.setKeepAlive(false);
  try {
    // Prevents Poco from sending the last chunk.
    this->socket().shutdown();
  } catch (const std::exception &) {
    // Already disconnected, which the caller detects too.
  }
}

void HttpSink::setRan(Ran Outcome) {
  this->Response.set("X-Waycove-Ran", std::string(ranText(Outcome)));
}

bool hasConflictingFraming(const Poco::Net::HTTPServerRequest &Request) {
  return Request.hasContentLength() &&
         Request.has(Poco::Net::HTTPMessage::TRANSFER_ENCODING);
}

bool isBodyRead(Poco::Net::HTTPServerRequest &Request) {
  bool HasBody =
      Request.getChunkedTransferEncoding() ||
      (Request.hasContentLength() && Request.getContentLength64() > 0);
  return !HasBody ||
         (!hasConflictingFraming(Request) && Request.stream().eof());
}

void discardBody(Poco::Net::HTTPServerRequest &Request) {
  try {
    dynamic_cast<Poco::Net::HTTPServerRequestImpl &>(Request)
        .socket()
        .setReceiveTimeout(timespanOf(DiscardTimeout));
    std::array<char, 8192> Part{};
    std::istream &In = Request.stream();
    for (std::size_t Dropped = 0; In.good() && Dropped < MaxDiscardedBytes;) {
      In.read(Part.data(), Part.size());
      Dropped += static_cast<std::size_t>(In.gcount());
    }
  } catch (const Poco::Exception &) {
    // Timeout or disconnect; the connection is closed anyway.
  }
}

absl::StatusOr<std::string> readBody(Poco::Net::HTTPServerRequest &Request,
                                     std::size_t MaxBytes) {
  if (Request.hasContentLength() &&
      Request.getContentLength64() > static_cast<std::int64_t>(MaxBytes))
    return makeError(ErrorKind::TooLarge,
                     "the body is larger than " + std::to_string(MaxBytes));
  std::string Body;
  std::array<char, 8192> Part{};
  std::istream &In = Request.stream();
  while (In.good()) {
    In.read(Part.data(), Part.size());
    Body.append(Part.data(), static_cast<std::size_t>(In.gcount()));
    if (Body.size() > MaxBytes)
      return makeError(ErrorKind::TooLarge,
                       "the body is larger than " + std::to_string(MaxBytes));
  }
  // The connection refused to read on (CheckedServerSocket).
  if (In.bad())
    return makeError(ErrorKind::BadRequest, "the body is malformed or cut");
  if (Request.hasContentLength() &&
      Request.getContentLength64() != static_cast<std::int64_t>(Body.size()))
    return makeError(ErrorKind::BadRequest, "the body was cut");
  return Body;
}

std::string bearerToken(const Poco::Net::HTTPServerRequest &Request) {
  constexpr char Scheme[] = "Bearer ";
  std::string Text = Request.get("Authorization", "");
  return Text.rfind(Scheme, 0) == 0 ? Text.substr(sizeof(Scheme) - 1) : "";
}

absl::StatusOr<CallerRequest>
readCallerRequest(Poco::Net::HTTPServerRequest &Request, const Board &Tables) {
  CallerRequest Result;
  Result.Method = Request.getMethod();
  // 1. Authenticate.
  std::string Digest = digestKey(bearerToken(Request));
  ObjectRef Owner = Tables.State.read(
      [&](const FoldState &State) { return State.workspaceByDigest(Digest); });
  if (!Owner && !Tables.Ready)
    return notReady(Request);
  if (!Owner)
    return makeError(ErrorKind::Unauthenticated, "no workspace has this key");
  Result.Workspace = WorkspaceId(Owner->Key.Name);
  // 2. Parse the URI and headers.
  if (absl::Status Found = readTarget(Request.getURI(), Result); !Found.ok())
    return Found;
  if (absl::Status Headers = readHeaders(Request, Tables, Result);
      !Headers.ok())
    return Headers;
  // 3. Read and parse the body.
  absl::StatusOr<std::string> Body =
      readBody(Request, Tables.Config.MaxBodyBytes);
  if (!Body.ok())
    return Body.status();
  Result.Body = *Body;
  Result.ContentType = Request.getContentType();
  if (Result.ContentType == Poco::Net::HTTPMessage::UNKNOWN_CONTENT_TYPE)
    Result.ContentType.clear();
  if (Result.Target.Kind != ObjectKind::Deployment)
    return Result;
  if (Result.Method != "POST")
    return makeError(ErrorKind::BadRequest, "expected POST");
  if (absl::Status Model = readModelBody(Result); !Model.ok())
    return Model;
  return Result;
}

} // namespace waycove
