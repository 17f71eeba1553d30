// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "soak/config_series.h"

#include "soak/soak_config.h"

#include <algorithm>
#include <random>
#include <thread>

namespace waycove::test {

namespace {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// Timeouts of the routes, which each version changes. Callers wait longer.
constexpr std::array RouteTimeoutsMs{2000, 1200, 2800};
/// With long streams, which run for 4 s.
constexpr std::array LongRouteTimeoutsMs{8000, 7600, 8400};
/// Requests that run at once in a group, for few callers and for many.
constexpr int Slots = 8;
constexpr int LongStreamSlots = 20;
/// Time between two versions.
constexpr int MinPauseMs = 100;
constexpr int MaxPauseMs = 1500;
/// The spare model comes, goes or gets another share after so many versions.
constexpr std::uint64_t VersionsPerModel = 4;
/// Keep the random sequences independent.
constexpr std::uint64_t PauseSeedOffset = 10'000'000;
constexpr std::uint64_t VersionSeedOffset = 11'000'000;

} // namespace

const std::array<int, 3> &ConfigSeries::timeoutsMs() const {
  return this->System.HasLongStreams ? LongRouteTimeoutsMs : RouteTimeoutsMs;
}

int ConfigSeries::timeoutMsOf(int Version) const {
  const auto &Timeouts = this->timeoutsMs();
  return Timeouts[static_cast<std::size_t>(Version) % Timeouts.size()];
}

int ConfigSeries::longestTimeoutMs() const {
  return std::ranges::max(this->timeoutsMs());
}

/// The fields that all routes of a version share, up to their kind.
std::string ConfigSeries::routeOf(int Version, const std::string &Name) const {
  return R"({"name":")" + Name + R"(","host":"a.example","path_prefix":"/)" +
         Name + R"(/","timeout_ms":)" +
         std::to_string(this->timeoutMsOf(Version)) +
         R"(,"goal_ms":300,"priority":1,)";
}

std::string ConfigSeries::textOf(int Version) const {
  std::mt19937_64 Random(this->System.Seed + VersionSeedOffset +
                         static_cast<std::uint64_t>(Version));
  const std::string StreamKind =
      R"("type":"streaming","service":"llm","resumable":true,)"
      R"("gap_target_ms":200,"max_attempts":)" +
      std::to_string(MaxAttempts) + "}";
  const std::string MaxConnections =
      R"("max_conns":)" + std::string(Random() % 2 ? "50" : "3");
  const std::string SpareRoute =
      Random() % 2 ? this->routeOf(Version, "spare") + StreamKind + "," : "";
  // Groups need some versions to follow.
  std::mt19937_64 Models(this->System.Seed + VersionSeedOffset +
                         static_cast<std::uint64_t>(Version) /
                             VersionsPerModel);
  const int SparePercent = static_cast<int>(Models() % 3) * 25;
  auto Model = [](const std::string &Name, int Percent) {
    return R"({"name":")" + Name + R"(","size":2,"share":)" +
           std::to_string(Percent / 100.0) +
           R"(,"pace":1,"load_s":0.1,"warm_s":0.05})";
  };
  return R"({"version":)" + std::to_string(Version) + R"(,"routes":[)" +
         SpareRoute + this->routeOf(Version, "chat") + StreamKind + "," +
         this->routeOf(Version, "once") +
         R"("type":"non_idempotent","service":"plain","max_attempts":1}],)"
         R"("services":[{"name":"plain",)" +
         MaxConnections + R"(},{"name":"llm",)" + MaxConnections +
         R"(,"engine":{"retains":1,"loads_per_s":50,"slots":)" +
         std::to_string(this->System.HasLongStreams ? LongStreamSlots : Slots) +
         R"(,"models":[)" + Model("model", 100 - SparePercent) +
         (SparePercent > 0 ? "," + Model(SpareModel, SparePercent) : "") +
         R"(]}}],"tenants":[{"name":"w1","api_keys":["key-1",")" +
         versionKey(Version) + R"("]}]})";
}

void ConfigSeries::publish() {
  std::lock_guard InOrder(this->PublishMutex);
  int Version = ++this->Version;
  this->System.Run.atPlatform(
      {"POST", "/store/put?topic=keyed.op&key=config", textOf(Version), {}});
  std::lock_guard Lock(this->Mutex);
  if (Version > 1)
    this->RevokedKeys.push_back({versionKey(Version - 1), Clock::now()});
}

void ConfigSeries::publishRepeatedly() {
  std::mt19937_64 Random(this->System.Seed + PauseSeedOffset);
  std::uniform_int_distribution<int> PauseMs(MinPauseMs, MaxPauseMs);
  while (!this->System.FaultsOver) {
    std::this_thread::sleep_for(milliseconds(PauseMs(Random)));
    this->publish();
  }
}

std::string ConfigSeries::chooseRevokedKey() {
  std::lock_guard Lock(this->Mutex);
  auto Latest = std::find_if(
      this->RevokedKeys.rbegin(), this->RevokedKeys.rend(),
      [](const auto &Row) { return Clock::now() - Row.At > RevokeBound; });
  if (Latest == this->RevokedKeys.rend())
    return "";
  // Half of the requests use the newest key, which a copy may still hold.
  if (this->RevokedCalls % 2 == 0)
    return Latest->Key;
  auto Count = static_cast<unsigned>(this->RevokedKeys.rend() - Latest);
  return this->RevokedKeys[this->RevokedCalls % Count].Key;
}

void ConfigSeries::callWithRevokedKey() {
  std::this_thread::sleep_for(milliseconds(20));
  std::string Key = this->chooseRevokedKey();
  if (Key.empty())
    return;
  unsigned Number = ++this->RevokedCalls;
  std::string Node = Number % 4 < 2 ? "n1" : "n2";
  Reply Response = this->System.call(Node, "/once/x",
                                     "thief-" + std::to_string(Number), Key);
  if (Response.Status == 200)
    this->System.Failures.add(Node + ": served a request with " + Key +
                              ", which was taken away");
}

bool ConfigSeries::isLastVersionServed() {
  std::string Key = versionKey(this->Version);
  std::string Id = "last-" + std::to_string(++this->RevokedCalls);
  return this->System.call("n1", "/once/x", Id, Key).Status == 200 &&
         this->System.call("n2", "/once/x", Id + "b", Key).Status == 200;
}

} // namespace waycove::test
