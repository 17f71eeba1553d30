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

/// A child process of a test; killed by the destructor.
class Process {
public:
  Process(const std::vector<std::string> &Command, const std::string &LogFile);
  ~Process();
  Process(const Process &) = delete;
  Process &operator=(const Process &) = delete;
  void signal(int Number) const;
  /// Sets a limit of the running process, as setrlimit(2) does. Errors:
  /// runtime_error.
  void limit(int Resource, std::uint64_t Value) const;
  /// Open descriptors.
  std::uint64_t descriptors() const;
  /// Mapped address space, in bytes.
  std::uint64_t mappedBytes() const;
  /// The most memory that it has had resident, in bytes.
  std::uint64_t peakBytes() const;
  /// Returns the exit status, 128 plus the signal number, or -1 if the process
  /// still runs after \p Within.
  int wait(std::chrono::milliseconds Within);
  pid_t id() const { return this->Pid; }

private:
  pid_t Pid = 0;
  bool Reaped = false;
  int Status = 0;
};

/// An HTTP response or connection failure, as the caller sees it.
struct Reply {
  int Status = 0;
  std::string Body;
  std::string Ran;
  std::string RetryAfter;
  /// The connection broke or the body is incomplete.
  bool Cut = false;
  /// The connection was never opened.
  bool Refused = false;

  /// Returns the text field \p Key of the JSON body; empty if absent.
  std::string text(const std::string &Key) const;
  std::string error(const std::string &Key = "kind") const;
  std::uint64_t number(const std::string &Key) const;
};

struct HttpRequest {
  std::string Method = "GET";
  std::string Path = {};
  std::string Body = {};
  std::map<std::string, std::string> Headers = {};
  std::chrono::milliseconds Timeout{15000};
};

Reply http(std::uint16_t Port, const HttpRequest &Request);

/// Waits until \p Condition holds; returns false if it does not within
/// \p Within.
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

/// Daemons, the stand-in platform and stand-in targets on separate loopback
/// ports. Each VM is a separate process that can be killed or frozen alone.
class Cluster {
public:
  Cluster();
  ~Cluster();

  // ---- Setup, before start(). ----
  void addVm(const VmSpec &Vm);
  /// Adds \p Count VMs, named "PREFIX-1" and so on.
  void addVms(const std::string &Prefix, int Count, const std::string &Centre,
              const std::string &Domain, const std::string &Role = "engine");
  void addNode(const std::string &Name, const std::string &Centre);
  /// Additional settings for every daemon.
  std::string ExtraSettings;
  /// Port through which daemons reach the platform; 0 for its own port.
  std::uint16_t PlatformProxyPort = 0;
  /// Set when the running test has failed; clusters then keep their folders.
  static inline std::atomic<bool> TestFailed{false};
  /// Keeps folder() after destruction.
  bool KeepLogs = false;
  /// A daemon is to crash; its log is not checked for that.
  bool ExpectsCrash = false;
  /// Runs daemons with clocks that suspend() can stop.
  bool Suspendable = false;
  std::vector<std::string> TargetFlags{"--token_ms=5", "--load_ms=50"};

  void startPlatform();
  void startVm(const std::string &Id);
  void startNode(const std::string &Name);
  /// Starts all processes and waits until every daemon is ready.
  void start();

  Process &node(const std::string &Name) { return *this->Nodes.at(Name); }
  Process &vm(const std::string &Id) { return *this->Vms.at(Id); }
  Process &platform() { return *this->Platform; }
  void killVm(const std::string &Id);
  void killNode(const std::string &Name);
  bool isReady(const std::string &Name);
  /// Simulates suspending the node's machine: the process stops, and its steady
  /// clock excludes the time until resume().
  void suspend(const std::string &Name);
  void resume(const std::string &Name);

  // ---- Requests and state. ----
  Reply ask(const std::string &Node, const HttpRequest &Request);
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
  /// Returns the number of groups that \p Node routes to.
  int serving(const std::string &Node);
  std::uint64_t counter(const std::string &Node, const std::string &Name);
  Reply atVm(const std::string &Id, const HttpRequest &Request);
  Reply atPlatform(const HttpRequest &Request);
  void vmFault(const std::string &Id, const std::string &Json);
  void platformFault(const std::string &Json);
  /// Counts the plain-service calls with \p Key over all VMs.
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
  /// Total suspended time of each node, and the start of an active suspension.
  std::map<std::string, std::chrono::milliseconds> Suspended;
  std::map<std::string, std::chrono::steady_clock::time_point> SuspendedSince;
  std::map<std::string, std::unique_ptr<Process>> Vms;
};

/// Publishes the default configuration: workspaces w1 (key "w1-key") and w2
/// ("w2-key"), a deployment "model" of groups of \p Size VMs, and a service
/// "ledger".
void publishUsual(Cluster &Run, const std::string &Node,
                  const std::string &Replicas, int Size = 2);
/// Returns an idempotency key with the current time and the suffix \p Rest.
std::string freshKey(const std::string &Rest);
/// Returns the text of tokens 0 to \p Count - 1 from the stand-in engine.
std::string wholeText(int Count);
/// Returns the token indexes of a streamed response in order of arrival.
std::vector<std::uint64_t> streamedIndexes(const std::string &Body);

} // namespace waycove::test
