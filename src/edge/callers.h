// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "control/peers.h"
#include "edge/serve.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/StreamSocket.h>

namespace waycove {

/// Writes an answer to a caller's HTTP connection. Answers of known length say
/// it. Streams are chunked and end their connection; one that is not whole
/// lacks its last chunk, so any client sees the cut.
class HttpSink {
public:
  HttpSink(Poco::Net::HTTPServerRequest &Request,
           Poco::Net::HTTPServerResponse &Response)
      : Request(Request), Response(Response) {}
  bool head(int Status, const std::string &Type, Millis Retry,
            AnswerLength Length);
  bool data(std::string_view Bytes);
  bool end();
  void cut();
  void note(Ran Outcome);

private:
  Poco::Net::StreamSocket &socket();

  Poco::Net::HTTPServerRequest &Request;
  Poco::Net::HTTPServerResponse &Response;
  std::ostream *Out = nullptr;
};

static_assert(AnswerSink<HttpSink>);

/// Whether the head names its body's end in two ways. Readers differ in which
/// they believe, so such a request may hide a second one.
bool hasTwoFramings(const Poco::Net::HTTPServerRequest &Request);
/// Whether all of the body has been read; true where there is none.
bool isBodyRead(Poco::Net::HTTPServerRequest &Request);
/// Reads and drops what is left of the body, up to bounds on bytes and time,
/// so that closing does not reset an answer that the caller has yet to read.
void dropBody(Poco::Net::HTTPServerRequest &Request);

/// Reads what a caller sent into a request, checking form and bounds. Errors:
/// from the closed list, BadRequest for most.
absl::StatusOr<CallerRequest> readCaller(Poco::Net::HTTPServerRequest &Request,
                                         const Board &Tables);

/// The body of \p Request, of at most \p MaxBytes.
absl::StatusOr<std::string> readBody(Poco::Net::HTTPServerRequest &Request,
                                     std::size_t MaxBytes);
/// The token of "Authorization: Bearer TOKEN"; empty where there is none.
std::string bearerOf(const Poco::Net::HTTPServerRequest &Request);

} // namespace waycove
