// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "base/errors.h"
#include "net/framing.h"

#include <Poco/Net/ServerSocket.h>
#include <optional>
#include <string>

namespace waycove {

/// Passes on the bytes of requests that POCO reads as the grammar does, head by
/// head and with the parts of their bodies, and stops at others. Chunks are
/// passed on without extensions and trailers, since POCO skips one line of a
/// trailer, and a head without a length gets one of zero, since POCO reads such
/// a body up to the end of the connection. To be used by one thread at a time.
class RequestFilter {
public:
  /// Limit on the bytes of a head.
  static constexpr std::size_t MaxHeadBytes = 64 << 10;

  /// Moves what may be passed on from the front of \p Input to \p Output.
  /// Errors: BadRequest if what follows is no valid request.
  absl::Status pass(std::string &Input, std::string &Output);
  /// Whether the body of a request has been passed on in part.
  bool isWithinBody() const { return this->Body.has_value(); }

private:
  /// The same for a head. Returns whether it was complete.
  absl::StatusOr<bool> passHead(std::string &Input, std::string &Output);
  absl::Status passBody(std::string &Input, std::string &Output);

  /// Follows the body of the newest request up to its end.
  std::optional<BodyDecoder> Body;
};

/// Listens for POCO's HTTP server, whose connections get the bytes that a
/// RequestFilter passes on. A request with an invalid head gets 400, and its
/// connection ends; the read of an invalid or incomplete body throws
/// Poco::Net::MessageException.
class CheckedServerSocket : public Poco::Net::ServerSocket {
public:
  CheckedServerSocket();
};

} // namespace waycove
