// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "base/events.h"
#include "base/yaml.h"

#include <map>
#include <optional>
#include <vector>

namespace waycove {

/// An IP address and port.
struct Endpoint {
  std::string Host;
  std::uint16_t Port = 0;
  std::string text() const {
    return this->Host + ":" + std::to_string(this->Port);
  }
};

/// Parses "host:port" with a numeric host into \p Out; returns false if \p Text
/// has another form.
bool parseEndpoint(const std::string &Text, Endpoint &Out);

/// Settings of a daemon that serves as an HTTP entry in front of targets in the
/// platform's registry.
struct EntrySettings {
  /// Address for readiness checks of the platform's load balancer.
  Endpoint Ready;
  /// Maximum time until a revoked key is refused everywhere.
  Millis RevokeBound{5000};
  /// Whether a node refuses keys that it cannot prove to be current.
  bool RevokeFailClosed = true;
  /// Maximum time until a leaving target gets no new requests.
  Millis DrainBound{2000};
  /// Maximum time until a new configuration is in force everywhere.
  Millis ConfigBound{2000};
  /// Time from the stop signal until the platform kills the process.
  Millis GracePeriod{8000};
  /// Limit on the retries of all nodes together within RetryWindow: RetrySlack
  /// plus RetryRatio of the requests.
  double RetryRatio = 0.2;
  double RetrySlack = 100;
  Millis RetryWindow{10000};
  /// Shortest lease that the platform grants on a partition assignment.
  Millis MinLease{1000};
  /// Interval at which targets write to the registry. An entry lapses after
  /// three intervals without a write.
  Millis TargetHeartbeatInterval{1200};
  /// The system starts for the first time: model weights may be loaded without
  /// a rate limit until the first request.
  bool FirstStart = false;
  /// Bytes of bodies that the node buffers for callers and targets together.
  std::size_t MaxBufferBytes = 64 << 20;
  /// Bandwidth of this node's network link in Mbit/s; 0 if unknown.
  double LinkMbps = 0;
  /// Number of partitions that the platform assigns to nodes.
  std::uint64_t PartitionCount = 12;
  /// Addresses of nodes that a node asks when it starts; some of them may be
  /// down or gone, and this node may be among them.
  std::vector<Endpoint> Seeds;
  /// The region of each data centre.
  std::map<DataCentreId, RegionId> Regions;
};

/// Settings of a daemon, read from its settings file.
struct Settings {
  NodeId Node;
  DataCentreId DataCentre;
  /// Address for callers and operators.
  Endpoint Http;
  /// Address for other daemons.
  Endpoint PeerListen;
  Endpoint Platform;
  std::vector<Endpoint> Peers;
  std::string OperatorKeyDigest;
  Severity LogLevel = Severity::Info;
  Millis DefaultDeadline{60000};
  Millis TokenStallTimeout{2000};
  Millis HeartbeatInterval{500};
  Millis PollInterval{300};
  Millis MemberTimeout{1500};
  Millis ConnectTimeout{500};
  Millis DrainTimeout{30000};
  std::size_t MaxStreams = 2000;
  std::size_t MaxBodyBytes = 1 << 20;
  std::size_t QueuePerWorkspace = 64;
  /// Number of log records between checkpoints.
  std::uint64_t CheckpointInterval = 2000;
  /// Set if the daemon serves as an HTTP entry on the platform.
  std::optional<EntrySettings> Entry;
};

/// Parses the settings file \p File with content \p Text; adds all errors to
/// \p Errors.
Settings parseSettings(const std::string &File, const std::string &Text,
                       ValidationErrors &Errors);

} // namespace waycove
