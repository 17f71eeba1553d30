// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "base/settings.h"

#include <Poco/Net/IPAddress.h>
#include <cmath>

namespace waycove {

namespace {

Endpoint readEndpoint(YamlMap &Map, const std::string &Field,
                      ValidationErrors &Errors) {
  YAML::Node Child = Map.child(Field, false);
  std::string Text = Map.text(Field, true);
  Endpoint Result;
  if (Child.IsDefined() && !parseEndpoint(Text, Result))
    Errors.add(Child, Map.pathOf(Field),
               "an IP address and port such as "
               "127.0.0.1:7000");
  return Result;
}

std::vector<Endpoint> readEndpoints(YamlMap &Map, const std::string &Field,
                                    ValidationErrors &Errors) {
  std::vector<Endpoint> Result;
  YAML::Node Child = Map.child(Field, false);
  for (const std::string &Row : Map.list(Field)) {
    Endpoint Address;
    if (parseEndpoint(Row, Address))
      Result.push_back(Address);
    else
      Errors.add(Child, Map.pathOf(Field),
                 "IP addresses and ports such as 127.0.0.1:7100");
  }
  return Result;
}

Severity readLevel(YamlMap &Map, ValidationErrors &Errors) {
  YAML::Node Child = Map.child("log_level", false);
  std::string Text = Map.text("log_level", false, "info");
  if (Text == "debug")
    return Severity::Debug;
  if (Text == "info")
    return Severity::Info;
  if (Text == "warning")
    return Severity::Warning;
  if (Text == "error")
    return Severity::Error;
  Errors.add(Child, "log_level", "debug, info, warning or error");
  return Severity::Info;
}

Millis readMillis(YamlMap &Map, const std::string &Field, Millis Default,
                  std::uint64_t Min, std::uint64_t Max) {
  return Millis(static_cast<std::int64_t>(Map.number(
      Field, false, static_cast<std::uint64_t>(Default.count()), Min, Max)));
}

/// Reads a duration from \p Field with suffix "_ms", or "_s" for seconds with
/// a fraction.
Millis readMillisOrSeconds(YamlMap &Map, const std::string &Field,
                           Millis Default, std::uint64_t Min,
                           std::uint64_t Max) {
  constexpr double MillisPerSecond = 1000;
  Millis InMillis = readMillis(Map, Field + "_ms", Default, Min, Max);
  double Seconds = Map.real(
      Field + "_s", static_cast<double>(InMillis.count()) / MillisPerSecond,
      static_cast<double>(Min) / MillisPerSecond,
      static_cast<double>(Max) / MillisPerSecond);
  return Millis(std::llround(Seconds * MillisPerSecond));
}

std::map<DataCentreId, RegionId> readRegions(YamlMap &Map,
                                             ValidationErrors &Errors) {
  constexpr std::size_t MaxNameLength = 64;
  std::map<DataCentreId, RegionId> Result;
  YAML::Node Child = Map.child("regions", false);
  if (!Child.IsDefined() || Child.IsNull())
    return Result;
  if (!Child.IsMap()) {
    Errors.add(Child, Map.pathOf("regions"), "a region for each data centre");
    return Result;
  }
  YamlMap Regions(Child, Map.pathOf("regions"), Errors);
  for (const auto &Entry : Child) {
    auto Centre = Entry.first.as<std::string>();
    Result[DataCentreId(Centre)] =
        RegionId(Regions.text(Centre, true, "", MaxNameLength));
  }
  return Result;
}

/// Reads the buffers' bound, or works it out from the memory of the process.
std::size_t readBufferBytes(YamlMap &Map, std::size_t Default) {
  constexpr double Megabyte = 1 << 20;
  constexpr double MaxMegabytes = 1 << 20;
  constexpr double MemoryDivisor = 4;
  double Memory = Map.real("memory_mb", 0, 0, MaxMegabytes);
  double Derived = Memory > 0 ? Memory / MemoryDivisor
                              : static_cast<double>(Default) / Megabyte;
  return static_cast<std::size_t>(
      Map.real("max_buffer_mb", Derived, 0, MaxMegabytes) * Megabyte);
}

EntrySettings readEntry(const YAML::Node &Node, ValidationErrors &Errors) {
  YamlMap Map(Node, "entry", Errors);
  EntrySettings Result;
  Result.Ready = readEndpoint(Map, "ready", Errors);
  Result.RevokeBound =
      readMillis(Map, "revoke_bound_ms", Result.RevokeBound, 100, 3600000);
  Result.RevokeFailClosed =
      Map.flag("revoke_fail_closed", Result.RevokeFailClosed);
  Result.DrainBound =
      readMillis(Map, "drain_bound_ms", Result.DrainBound, 100, 3600000);
  Result.ConfigBound =
      readMillis(Map, "config_bound_ms", Result.ConfigBound, 100, 3600000);
  Result.GracePeriod =
      readMillisOrSeconds(Map, "grace", Result.GracePeriod, 100, 3600000);
  Result.RetryRatio = Map.real("retry_ratio", Result.RetryRatio, 0, 1);
  Result.RetrySlack = Map.real("retry_slack", Result.RetrySlack, 0, 1e6);
  Result.RetryWindow = readMillisOrSeconds(Map, "retry_window",
                                           Result.RetryWindow, 100, 3600000);
  Result.MinLease =
      readMillis(Map, "lease_least_ms", Result.MinLease, 10, 600000);
  Result.TargetHeartbeatInterval = readMillis(
      Map, "target_heartbeat_ms", Result.TargetHeartbeatInterval, 10, 600000);
  Result.FirstStart = Map.flag("first_start", Result.FirstStart);
  Result.MaxBufferBytes = readBufferBytes(Map, Result.MaxBufferBytes);
  Result.LinkMbps = Map.real("link_mbps", Result.LinkMbps, 0, 1e6);
  Result.PartitionCount =
      Map.number("work_parts", false, Result.PartitionCount, 1, 100000);
  Result.Seeds = readEndpoints(Map, "seeds", Errors);
  Result.Regions = readRegions(Map, Errors);
  Map.finish();
  return Result;
}

} // namespace

bool parseEndpoint(const std::string &Text, Endpoint &Out) {
  std::size_t Colon = Text.rfind(':');
  if (Colon == std::string::npos || Colon == 0 || Colon + 1 == Text.size() ||
      Text.size() - Colon > 6)
    return false;
  std::string Digits = Text.substr(Colon + 1);
  if (Digits.find_first_not_of("0123456789") != std::string::npos)
    return false;
  unsigned long Port = std::stoul(Digits);
  Poco::Net::IPAddress Address;
  if (Port == 0 || Port > 65535 ||
      !Poco::Net::IPAddress::tryParse(Text.substr(0, Colon), Address))
    return false;
  Out = {Text.substr(0, Colon), static_cast<std::uint16_t>(Port)};
  return true;
}

Settings parseSettings(const std::string &File, const std::string &Text,
                       ValidationErrors &Errors) {
  Errors.File = File;
  Settings Result;
  std::vector<YAML::Node> Documents = loadYaml(Text, Errors);
  if (Documents.size() != 1) {
    if (Errors.empty())
      Errors.Errors.push_back({File, 1, "file", "one YAML document"});
    return Result;
  }
  YamlMap Map(Documents[0], "", Errors);
  Result.Node = NodeId(Map.text("node", true, "", 64));
  Result.DataCentre = DataCentreId(Map.text("data_centre", true, "", 64));
  Result.Http = readEndpoint(Map, "http", Errors);
  Result.PeerListen = readEndpoint(Map, "peer_listen", Errors);
  Result.Platform = readEndpoint(Map, "platform", Errors);
  Result.Peers = readEndpoints(Map, "peers", Errors);
  if (YAML::Node Entry = Map.child("entry", false); Entry.IsDefined())
    Result.Entry = readEntry(Entry, Errors);
  // An entry on the platform has no operator API.
  Result.OperatorKeyDigest =
      Map.text("operator_key_digest", !Result.Entry.has_value());
  Result.LogLevel = readLevel(Map, Errors);
  Result.DefaultDeadline = readMillis(Map, "default_deadline_ms",
                                      Result.DefaultDeadline, 10, 3600000);
  Result.TokenStallTimeout =
      readMillis(Map, "token_stall_ms", Result.TokenStallTimeout, 10, 600000);
  Result.HeartbeatInterval =
      readMillis(Map, "heartbeat_ms", Result.HeartbeatInterval, 20, 10000);
  Result.PollInterval =
      readMillis(Map, "poll_ms", Result.PollInterval, 20, 10000);
  Result.MemberTimeout =
      readMillis(Map, "member_dead_after_ms", Result.MemberTimeout, 50, 600000);
  Result.ConnectTimeout =
      readMillis(Map, "connect_timeout_ms", Result.ConnectTimeout, 10, 60000);
  Result.DrainTimeout =
      readMillis(Map, "drain_time_ms", Result.DrainTimeout, 0, 3600000);
  Result.MaxStreams =
      Map.number("max_streams", false, Result.MaxStreams, 1, 20000);
  Result.MaxBodyBytes =
      Map.number("max_body_bytes", false, Result.MaxBodyBytes, 1024, 64 << 20);
  Result.QueuePerWorkspace = Map.number("queue_per_workspace", false,
                                        Result.QueuePerWorkspace, 1, 100000);
  Result.CheckpointInterval =
      Map.number("checkpoint_every_records", false, Result.CheckpointInterval,
                 1, 10000000);
  Map.finish();
  return Result;
}

} // namespace waycove
