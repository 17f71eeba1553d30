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
