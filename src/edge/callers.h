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

/// Writes a response to a caller's HTTP connection. Responses of known length
/// have a Content-Length. Streams are chunked and close their connection; an
/// incomplete one lacks its last chunk, so that clients detect the cut.
class HttpSink {
public:
  HttpSink(Poco::Net::HTTPServerRequest &Request,
           Poco::Net::HTTPServerResponse &Response)
      : Request(Request), Response(Response) {}
  bool head(int Status, const std::string &Type, Millis Retry,
            ResponseLength Length);
  bool data(std::string_view Bytes);
  bool end();
  void cut();
  void setRan(Ran Outcome);

private:
  Poco::Net::StreamSocket &socket();

  Poco::Net::HTTPServerRequest &Request;
  Poco::Net::HTTPServerResponse &Response;
  std::ostream *Out = nullptr;
};

static_assert(ResponseSink<HttpSink>);

/// Whether the request has both Content-Length and Transfer-Encoding, which
/// allows request smuggling.
bool hasConflictingFraming(const Poco::Net::HTTPServerRequest &Request);
/// Whether the whole body has been read; true where there is none.
bool isBodyRead(Poco::Net::HTTPServerRequest &Request);
/// Reads and discards the rest of the body, bounded in bytes and time, so that
/// closing the connection does not reset it before the caller has read the
/// response.
void discardBody(Poco::Net::HTTPServerRequest &Request);

/// Parses and validates a caller's request. Errors: Unauthenticated, NotReady,
/// NotFound, TooLarge, BadRequest.
absl::StatusOr<CallerRequest>
readCallerRequest(Poco::Net::HTTPServerRequest &Request, const Board &Tables);

/// The body of \p Request. Errors: TooLarge above \p MaxBytes; BadRequest where
/// it is incomplete.
absl::StatusOr<std::string> readBody(Poco::Net::HTTPServerRequest &Request,
                                     std::size_t MaxBytes);
/// The token of "Authorization: Bearer TOKEN"; empty where there is none.
std::string bearerToken(const Poco::Net::HTTPServerRequest &Request);

} // namespace waycove
