// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "base/json.h"

#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <string>
#include <sys/types.h>
#include <vector>

namespace waycove::test {

/// A child process of a test; killed when it goes.
class Process {
public:
  Process(const std::vector<std::string> &Command, const std::string &LogFile);
  ~Process();
  Process(const Process &) = delete;
  Process &operator=(const Process &) = delete;
  void signal(int Number) const;
  /// Exit status, or 128 plus the signal; -1 if it still runs after \p Within.
  int wait(std::chrono::milliseconds Within);
  pid_t id() const { return this->Pid; }

private:
  pid_t Pid = 0;
  bool Reaped = false;
  int Status = 0;
};

/// One HTTP exchange, as a caller sees it.
struct Reply {
  int Status = 0;
  std::string Body;
  std::string Ran;
  std::string RetryAfter;
  /// The connection broke, or the body lacked its end.
  bool Cut = false;
  /// The connection was never opened.
  bool Refused = false;

  /// Texts at a path of keys in the JSON body; empty where absent.
  std::string text(const std::string &Key) const;
  std::string error(const std::string &Key = "kind") const;
  std::uint64_t number(const std::string &Key) const;
};

struct Ask {
  std::string Method = "GET";
  std::string Path = {};
  std::string Body = {};
  std::map<std::string, std::string> Headers = {};
  std::chrono::milliseconds Timeout{15000};
};

Reply http(std::uint16_t Port, const Ask &Question);

/// Waits until \p Condition holds; false where it does not within \p Within.
bool eventually(
    const std::function<bool()> &Condition,
    std::chrono::milliseconds Within = std::chrono::milliseconds(20000));

struct VmSpec {
  std::string Id;
  std::string DataCentre;
  std::string Domain;
  std::string Role = "engine";
  std::map<std::string, std::string> Labels;
};

struct NodeSpec {
  std::string Name;
  std::string DataCentre;
};

/// Daemons, stand-in platform and stand-in targets on loopback ports of their
/// own. Each VM is a process of its own, so it can be killed or frozen alone.
class Cluster {
public:
  Cluster();
  ~Cluster();

  // ---- To be said before start(). ----
  void addVm(const VmSpec &Vm);
  /// \p Count VMs "PREFIX-1" and so on.
  void addVms(const std::string &Prefix, int Count, const std::string &Centre,
              const std::string &Domain, const std::string &Role = "engine");
  void addNode(const std::string &Name, const std::string &Centre);
  /// A line of every daemon's settings.
  std::string ExtraSettings;
  /// Where daemons reach the platform; 0: at its own port.
  std::uint16_t PlatformVia = 0;
  /// The running test has failed: clusters leave their folders behind.
  static inline std::atomic<bool> TestFailed{false};
  /// Leaves its folder, which folder() names, behind.
  bool KeepLogs = false;
  /// Daemons run with clocks that know of suspend().
  bool Suspendable = false;
  std::vector<std::string> TargetFlags{"--token_ms=5", "--load_ms=50"};

  void startPlatform();
  void startVm(const std::string &Id);
  void startNode(const std::string &Name);
  /// All of them; waits until every daemon is ready.
  void start();

  Process &node(const std::string &Name) { return *this->Nodes.at(Name); }
  Process &vm(const std::string &Id) { return *this->Vms.at(Id); }
  Process &platform() { return *this->Platform; }
  void killVm(const std::string &Id);
  void killNode(const std::string &Name);
  bool isReady(const std::string &Name);
  /// Suspends the node's machine: it stands still, and its steady clock does
  /// not count the time until resume().
  void suspend(const std::string &Name);
  void resume(const std::string &Name);

  // ---- Questions. ----
  Reply ask(const std::string &Node, const Ask &Question);
  Reply generate(const std::string &Node, int Tokens, bool Stream = false,
                 std::map<std::string, std::string> Headers = {},
                 const std::string &Key = "w1-key");
  Reply callService(const std::string &Node, const std::string &Key,
                    std::map<std::string, std::string> Headers = {},
                    const std::string &Body = "ack");
  Reply apply(const std::string &Node, const std::string &Kind,
              const std::string &Name, const std::string &Spec,
              std::int64_t Base = -1);
  JsonObject status(const std::string &Node);
  JsonObject metrics(const std::string &Node);
  /// Groups that \p Node routes to.
  int serving(const std::string &Node);
  std::uint64_t counter(const std::string &Node, const std::string &Name);
  Reply atVm(const std::string &Id, const Ask &Question);
  Reply atPlatform(const Ask &Question);
  void vmFault(const std::string &Id, const std::string &Json);
  void platformFault(const std::string &Json);
  /// Calls of the plain services, over all VMs, with \p Key.
  int callsOf(const std::string &Key);
  std::string logOf(const std::string &Name);
  std::uint16_t httpPort(const std::string &Node);
  std::uint16_t peerPort(const std::string &Node);
  std::uint16_t platformPort() const { return this->Base; }
  std::uint16_t vmPort(const std::string &Id);
  std::string settingsFile(const std::string &Node);
  const std::string &folder() const { return this->Folder; }

private:
  void checkLogs();

  std::uint16_t Base = 0;
  std::string Folder;
  std::vector<VmSpec> VmSpecs;
  std::vector<NodeSpec> NodeSpecs;
  std::unique_ptr<Process> Platform;
  std::map<std::string, std::unique_ptr<Process>> Nodes;
  /// How long each node's machine was suspended, and since when it is.
  std::map<std::string, std::chrono::milliseconds> Suspended;
  std::map<std::string, std::chrono::steady_clock::time_point> SuspendedSince;
  std::map<std::string, std::unique_ptr<Process>> Vms;
};

/// The usual configuration: a workspace w1 (key "w1-key") and w2 ("w2-key"),
/// a deployment "model" of groups of \p Size VMs, and a service "ledger".
void publishUsual(Cluster &Run, const std::string &Node,
                  const std::string &Replicas, int Size = 2);
/// Bytes of a key that is valid now.
std::string freshKey(const std::string &Rest);
/// Text of tokens 0 to \p Count - 1, as the stand-in engine makes them.
std::string wholeText(int Count);
/// Indexes of the tokens of a streamed answer, in the order they came.
std::vector<std::uint64_t> streamedIndexes(const std::string &Body);

} // namespace waycove::test
