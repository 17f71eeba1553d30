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
constexpr std::uint64_t MaxTokensAsked = 1 << 20;
constexpr std::uint64_t DefaultTokens = 256;
constexpr std::uint64_t MaxDeadlineMs = 3600000;
constexpr std::uint64_t MaxPriority = 9;
constexpr std::size_t MaxSession = 128;
/// What is read of a refused request's body before its connection closes, in
/// bytes and as the longest wait for more; chosen to hold no thread for long.
constexpr std::size_t MaxDropped = 1 << 20;
constexpr Millis DropTime(200);
constexpr char ModelPrefix[] = "/v1/models/";
constexpr char ServicePrefix[] = "/v1/services/";
constexpr char GenerateSuffix[] = "/generate";

/// Reads a whole number from a header; \p Default where it is absent.
absl::StatusOr<std::uint64_t>
numberHeader(const Poco::Net::HTTPServerRequest &Request,
             const std::string &Name, std::uint64_t Default,
             std::uint64_t Most) {
  std::string Text = Request.get(Name, "");
  if (Text.empty())
    return Default;
  bool Digits = Text.size() <= 12 &&
                Text.find_first_not_of("0123456789") == std::string::npos;
  std::uint64_t Value = Digits ? std::stoull(Text) : 0;
  if (!Digits || Value > Most)
    return makeError(ErrorKind::BadRequest,
                     Name + ": expected a whole number of at most " +
                         std::to_string(Most));
  return Value;
}

bool isPlainId(const std::string &Text, std::size_t Most) {
  return Text.size() <= Most &&
         std::all_of(Text.begin(), Text.end(), [](unsigned char C) {
           return std::isalnum(C) || C == '-' || C == '_' || C == '.';
         });
}

/// Takes the path apart: which object is meant, and what is left of it.
absl::Status readTarget(const std::string &Uri, CallerRequest &Into) {
  std::string Path = Uri.substr(0, Uri.find('?'));
  if (Path.rfind(ModelPrefix, 0) == 0 && Path.ends_with(GenerateSuffix) &&
      Path.size() > sizeof(ModelPrefix) + sizeof(GenerateSuffix) - 2) {
    std::size_t From = sizeof(ModelPrefix) - 1;
    std::string Name =
        Path.substr(From, Path.size() - From - (sizeof(GenerateSuffix) - 1));
    Into.Target = {ObjectKind::Deployment, Name};
    return absl::OkStatus();
  }
  if (Path.rfind(ServicePrefix, 0) == 0) {
    std::string Rest = Uri.substr(sizeof(ServicePrefix) - 1);
    std::size_t End = Rest.find_first_of("/?");
    Into.Target = {ObjectKind::Service, Rest.substr(0, End)};
    Into.Path = End == std::string::npos ? "/" : Rest.substr(End);
    if (Into.Path[0] != '/')
      Into.Path = std::string(1, '/').append(Into.Path);
    return absl::OkStatus();
  }
  return makeError(ErrorKind::NotFound, "no such path");
}

absl::Status readModelBody(CallerRequest &Into) {
  absl::StatusOr<JsonObject> Body = parseJson(Into.Body);
  if (!Body.ok())
    return Body.status();
  if (!(*Body)->get("prompt").isString())
    return makeError(ErrorKind::BadRequest, "prompt: expected a text");
  Into.Prompt = textAt(*Body, "prompt");
  Into.MaxTokens = numberAt(*Body, "max_tokens", DefaultTokens);
  if (Into.MaxTokens == 0 || Into.MaxTokens > MaxTokensAsked)
    return makeError(ErrorKind::BadRequest, "max_tokens: expected 1 to " +
                                                std::to_string(MaxTokensAsked));
  Into.Stream = flagAt(*Body, "stream", false);
  return absl::OkStatus();
}

/// Whether the request may be sent more than once. The caller's word counts
/// where it forbids; where it allows what the service's methods do not say,
/// it counts too, for the caller knows its call.
absl::Status readRepeatable(const Poco::Net::HTTPServerRequest &Request,
                            const Board &Tables, CallerRequest &Into) {
  bool Default = Into.Target.Kind == ObjectKind::Deployment;
  if (!Default)
    Default = Tables.State.read([&](const FoldState &State) {
      const auto *Spec =
          State.spec<Service>(ObjectKind::Service, Into.Target.Name);
      return Spec && std::find(Spec->RepeatableMethods.begin(),
                               Spec->RepeatableMethods.end(),
                               Into.Method) != Spec->RepeatableMethods.end();
    });
  std::string Text = Request.get("X-Waycove-Repeatable", "");
  if (!Text.empty() && Text != "yes" && Text != "no")
    return makeError(ErrorKind::BadRequest,
                     "X-Waycove-Repeatable: expected yes or no");
  Into.Repeatable = Text.empty() ? Default : Text == "yes";
  // A key asks for at-most-once, whatever else is said.
  if (!Into.Key.empty())
    Into.Repeatable = false;
  return absl::OkStatus();
}

/// A request with a key may have run elsewhere before.
absl::Status notReady(const Poco::Net::HTTPServerRequest &Request) {
  absl::Status Status = makeError(ErrorKind::NotReady,
                                  "no current configuration yet", ComeBackSoon);
  return Request.has("Idempotency-Key") ? markOutcomeUnknown(Status) : Status;
}

absl::Status readHeaders(const Poco::Net::HTTPServerRequest &Request,
                         const Board &Tables, CallerRequest &Into) {
  Into.Id = RequestId(Request.get("X-Request-Id", ""));
  if (!isPlainId(Into.Id.Text, MaxRequestId))
    return makeError(ErrorKind::BadRequest,
                     "X-Request-Id: expected at most 64 letters, digits, "
                     "'-', '_' and '.'");
  // Callers may choose the same id; what goes to targets is always unique.
  if (!Into.Id.empty())
    Into.Id.Text.push_back('~');
  Into.Id.Text.append(randomId());
  Into.LabelsText = Request.get("X-Waycove-Labels", "");
  absl::StatusOr<Selector> Wanted = parseSelector(Into.LabelsText);
  if (!Wanted.ok())
    return Wanted.status();
  Into.Wanted = *Wanted;
  Into.Key = IdempotencyKey(Request.get("Idempotency-Key", ""));
  Into.Session = Request.get("X-Waycove-Session", "");
  if (Into.Session.size() > MaxSession)
    return makeError(ErrorKind::BadRequest, "X-Waycove-Session: too long");
  absl::StatusOr<std::uint64_t> Priority =
      numberHeader(Request, "X-Waycove-Priority", 0, MaxPriority);
  if (!Priority.ok())
    return Priority.status();
  Into.Priority = static_cast<unsigned>(*Priority);
  absl::StatusOr<std::uint64_t> Deadline = numberHeader(
      Request, "X-Waycove-Deadline-Ms",
      static_cast<std::uint64_t>(Tables.Config.DefaultDeadline.count()),
      MaxDeadlineMs);
  if (!Deadline.ok())
    return Deadline.status();
  Into.Deadline =
      SystemClock{}.now() + Millis(static_cast<std::int64_t>(*Deadline));
  return readRepeatable(Request, Tables, Into);
}

} // namespace

bool HttpSink::head(int Status, const std::string &Type, Millis Retry,
                    AnswerLength Length) {
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
    // Bytes that nobody read must not be taken for the next request.
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
    // The last chunk goes out here and not when the library lets the stream
    // go, so that an answer counts as given only once it is on its way whole.
    // The library would write it a second time: no more can be sent.
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
    // Without the socket, the last chunk cannot go out.
    this->socket().shutdown();
  } catch (const std::exception &) {
    // Broken already: the caller sees that as well.
  }
}

void HttpSink::note(Ran Outcome) {
  this->Response.set("X-Waycove-Ran", std::string(ranText(Outcome)));
}

bool hasTwoFramings(const Poco::Net::HTTPServerRequest &Request) {
  return Request.hasContentLength() &&
         Request.has(Poco::Net::HTTPMessage::TRANSFER_ENCODING);
}

bool isBodyRead(Poco::Net::HTTPServerRequest &Request) {
  bool Any = Request.getChunkedTransferEncoding() ||
             (Request.hasContentLength() && Request.getContentLength64() > 0);
  return !Any || (!hasTwoFramings(Request) && Request.stream().eof());
}

void dropBody(Poco::Net::HTTPServerRequest &Request) {
  try {
    dynamic_cast<Poco::Net::HTTPServerRequestImpl &>(Request)
        .socket()
        .setReceiveTimeout(timespanOf(DropTime));
    std::array<char, 8192> Part{};
    std::istream &In = Request.stream();
    for (std::size_t Dropped = 0; In.good() && Dropped < MaxDropped;) {
      In.read(Part.data(), Part.size());
      Dropped += static_cast<std::size_t>(In.gcount());
    }
  } catch (const Poco::Exception &) {
    // The caller is slow or gone; the connection ends either way.
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
  if (Request.hasContentLength() &&
      Request.getContentLength64() != static_cast<std::int64_t>(Body.size()))
    return makeError(ErrorKind::BadRequest, "the body was cut");
  return Body;
}

std::string bearerOf(const Poco::Net::HTTPServerRequest &Request) {
  constexpr char Scheme[] = "Bearer ";
  std::string Text = Request.get("Authorization", "");
  return Text.rfind(Scheme, 0) == 0 ? Text.substr(sizeof(Scheme) - 1) : "";
}

absl::StatusOr<CallerRequest> readCaller(Poco::Net::HTTPServerRequest &Request,
                                         const Board &Tables) {
  CallerRequest Result;
  Result.Method = Request.getMethod();
  // 1. Who asks? Nothing else is said to strangers.
  std::string Digest = digestKey(bearerOf(Request));
  ObjectRef Owner = Tables.State.read(
      [&](const FoldState &State) { return State.workspaceByDigest(Digest); });
  if (!Owner && !Tables.Ready)
    return notReady(Request);
  if (!Owner)
    return makeError(ErrorKind::Unauthenticated, "no workspace has this key");
  Result.Workspace = WorkspaceId(Owner->Key.Name);
  // 2. What is asked?
  if (absl::Status Found = readTarget(Request.getURI(), Result); !Found.ok())
    return Found;
  if (absl::Status Headers = readHeaders(Request, Tables, Result);
      !Headers.ok())
    return Headers;
  // 3. The body.
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
