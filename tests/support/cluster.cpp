// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "support/cluster.h"

#include "policy/objects.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <algorithm>
#include <array>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <spawn.h>
#include <sstream>
#include <stdexcept>
#include <string_view>
#include <sys/resource.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

extern char **environ;

namespace waycove::test {

namespace {

constexpr int PortsPerCluster = 80;
constexpr int FirstPort = 10000;
constexpr int PortBlocks = 250;
constexpr int NodePort = 1;
constexpr int PeerPort = 15;
constexpr int VmPort = 30;
/// Exit status of a test process whose daemon logged a fault.
constexpr int FaultInLog = 99;

/// Finds a block of unused ports. Tests run in parallel, so the stand-in
/// platform holds the first port of the block from the start.
std::uint16_t findPorts() {
  for (int I = 0; I < PortBlocks; ++I) {
    int Block = (static_cast<int>(getpid()) * 7 + I) % PortBlocks;
    int Port = FirstPort + Block * PortsPerCluster;
    bool Free = true;
    for (int P = Port; P < Port + PortsPerCluster && Free; ++P)
      try {
        Poco::Net::ServerSocket Try;
        Try.bind(Poco::Net::SocketAddress("127.0.0.1",
                                          static_cast<std::uint16_t>(P)),
                 true, false);
      } catch (const Poco::Exception &) {
        Free = false;
      }
    if (Free)
      return static_cast<std::uint16_t>(Port);
  }
  throw std::runtime_error("no free ports");
}

std::string binary(const std::string &Name) {
  return std::string(WAYCOVE_BUILD) + "/" + Name;
}

JsonObject jsonOf(const Reply &Answer) {
  auto Body = parseJson(Answer.Body);
  return Body.ok() ? *Body : JsonObject(new Poco::JSON::Object);
}

} // namespace

Process::Process(const std::vector<std::string> &Command,
                 const std::string &LogFile) {
  std::vector<char *> Args;
  Args.reserve(Command.size() + 1);
  for (const std::string &Word : Command)
    Args.push_back(const_cast<char *>(Word.c_str()));
  Args.push_back(nullptr);
  posix_spawn_file_actions_t Files;
  posix_spawn_file_actions_init(&Files);
  posix_spawn_file_actions_addopen(&Files, 1, LogFile.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&Files, 1, 2);
  int Failed =
      posix_spawn(&this->Pid, Args[0], &Files, nullptr, Args.data(), environ);
  posix_spawn_file_actions_destroy(&Files);
  if (Failed != 0)
    throw std::runtime_error("cannot start " + Command[0]);
}

Process::~Process() {
  if (this->Reaped)
    return;
  kill(this->Pid, SIGKILL);
  waitpid(this->Pid, &this->Status, 0);
}

void Process::signal(int Number) const {
  // Another process may have the ID by now.
  if (!this->Reaped)
    kill(this->Pid, Number);
}

void Process::limit(int Resource, std::uint64_t Value) const {
  rlimit New{};
  // The upper limit stays, so that a test can lift this one again.
  prlimit(this->Pid, static_cast<__rlimit_resource>(Resource), nullptr, &New);
  New.rlim_cur = std::min<rlim_t>(Value, New.rlim_max);
  if (prlimit(this->Pid, static_cast<__rlimit_resource>(Resource), &New,
              nullptr) != 0)
    throw std::runtime_error("cannot set a limit");
}

std::uint64_t Process::descriptors() const {
  std::filesystem::directory_iterator Open("/proc/" +
                                           std::to_string(this->Pid) + "/fd");
  return static_cast<std::uint64_t>(std::distance(begin(Open), end(Open)));
}

std::uint64_t Process::mappedBytes() const {
  std::ifstream File("/proc/" + std::to_string(this->Pid) + "/statm");
  std::uint64_t Pages = 0;
  File >> Pages;
  return Pages * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
}

std::uint64_t Process::peakBytes() const {
  std::ifstream File("/proc/" + std::to_string(this->Pid) + "/status");
  std::uint64_t Kilobytes = 0;
  for (std::string Word; File >> Word;)
    if (Word == "VmHWM:" && File >> Kilobytes)
      break;
  return Kilobytes << 10;
}

int Process::wait(std::chrono::milliseconds Within) {
  bool Ended = this->Reaped || eventually(
                                   [&] {
                                     this->Reaped =
                                         waitpid(this->Pid, &this->Status,
                                                 WNOHANG) == this->Pid;
                                     return this->Reaped;
                                   },
                                   Within);
  if (!Ended)
    return -1;
  return WIFEXITED(this->Status) ? WEXITSTATUS(this->Status)
                                 : 128 + WTERMSIG(this->Status);
}

std::string Reply::text(const std::string &Key) const {
  return textAt(jsonOf(*this), Key);
}

std::string Reply::error(const std::string &Key) const {
  JsonObject Error = jsonOf(*this)->getObject("error");
  return Error.isNull() ? "" : textAt(Error, Key);
}

std::uint64_t Reply::number(const std::string &Key) const {
  return numberAt(jsonOf(*this), Key);
}

namespace {

/// Decodes the chunked body \p Raw; returns false if the last chunk is missing.
bool joinChunks(const std::string &Raw, std::string &Into) {
  std::size_t At = 0;
  while (true) {
    std::size_t End = Raw.find("\r\n", At);
    if (End == std::string::npos)
      return false;
    std::size_t Size = std::stoul(Raw.substr(At, End - At), nullptr, 16);
    if (Size == 0)
      return true;
    if (End + 2 + Size + 2 > Raw.size()) {
      Into += Raw.substr(End + 2);
      return false;
    }
    Into += Raw.substr(End + 2, Size);
    At = End + 2 + Size + 2;
  }
}

Reply parseReply(const std::string &Raw) {
  Reply Result;
  std::size_t HeadEnd = Raw.find("\r\n\r\n");
  Result.Cut = HeadEnd == std::string::npos;
  if (Result.Cut)
    return Result;
  std::istringstream Head(Raw.substr(0, HeadEnd + 2));
  Poco::Net::HTTPResponse Response;
  Response.read(Head);
  Result.Status = Response.getStatus();
  Result.Ran = Response.get("X-Waycove-Ran", "");
  Result.RetryAfter = Response.get("Retry-After", "");
  std::string Body = Raw.substr(HeadEnd + 4);
  if (Response.getChunkedTransferEncoding()) {
    Result.Cut = !joinChunks(Body, Result.Body);
  } else {
    Result.Body = Body;
    Result.Cut =
        Response.hasContentLength() &&
        Response.getContentLength64() != static_cast<std::int64_t>(Body.size());
  }
  return Result;
}

} // namespace

Reply http(std::uint16_t Port, const HttpRequest &Request) {
  Reply Result;
  Result.Refused = true;
  std::string Raw;
  try {
    Poco::Net::StreamSocket Socket;
    Socket.connect(Poco::Net::SocketAddress("127.0.0.1", Port),
                   Poco::Timespan(2, 0));
    Result.Refused = false;
    Socket.setReceiveTimeout(Poco::Timespan(Request.Timeout.count() * 1000));
    Poco::Net::HTTPRequest Head(Request.Method, Request.Path,
                                Poco::Net::HTTPMessage::HTTP_1_1);
    Head.setHost("127.0.0.1");
    Head.setKeepAlive(false);
    for (const auto &[Name, Value] : Request.Headers)
      Head.set(Name, Value);
    Head.setContentLength(static_cast<std::streamsize>(Request.Body.size()));
    std::ostringstream Out;
    Head.write(Out);
    Out << Request.Body;
    std::string Bytes = Out.str();
    Socket.sendBytes(Bytes.data(), static_cast<int>(Bytes.size()));
    std::array<char, 4096> Part{};
    auto Until = std::chrono::steady_clock::now() + Request.Timeout;
    while (int Got = Socket.receiveBytes(Part.data(), Part.size())) {
      Raw.append(Part.data(), static_cast<std::size_t>(Got));
      if (std::chrono::steady_clock::now() >= Until)
        break;
    }
  } catch (const Poco::Exception &) {
    if (Result.Refused)
      return Result;
  }
  return parseReply(Raw);
}

bool eventually(const std::function<bool()> &Condition,
                std::chrono::milliseconds Within) {
  auto Until = std::chrono::steady_clock::now() + Within;
  while (true) {
    if (Condition())
      return true;
    if (std::chrono::steady_clock::now() >= Until)
      return false;
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
}

Cluster::Cluster() : Base(findPorts()) {
  std::string Name =
      (std::filesystem::temp_directory_path() / "waycove-XXXXXX").string();
  this->Folder = mkdtemp(Name.data());
}

Cluster::~Cluster() {
  this->Nodes.clear();
  this->Vms.clear();
  this->Platform.reset();
  this->checkLogs();
  if (TestFailed)
    std::cerr << "logs: " << this->Folder << "\n";
  else if (!this->KeepLogs && !std::getenv("WAYCOVE_KEEP_LOGS"))
    std::filesystem::remove_all(this->Folder);
}

/// Faults in a daemon that was killed are visible only in its log.
void Cluster::checkLogs() {
  for (const NodeSpec &Row : this->NodeSpecs) {
    std::string Text = this->logOf(Row.Name);
    for (std::string_view Marker :
         {"Sanitizer", "runtime error:", "lock order breached",
          "terminate called", "daemon_crashed"}) {
      std::size_t At = Text.find(Marker);
      if (At == std::string::npos ||
          (this->ExpectsCrash && Marker == "daemon_crashed"))
        continue;
      std::cerr << Row.Name << ": " << Text.substr(At, 6000) << "\n";
      std::_Exit(FaultInLog);
    }
  }
}

void Cluster::addVm(const VmSpec &Vm) { this->VmSpecs.push_back(Vm); }

void Cluster::addVms(const std::string &Prefix, int Count,
                     const std::string &Centre, const std::string &Domain,
                     const std::string &Role) {
  for (int I = 1; I <= Count; ++I)
    this->addVm({Prefix + "-" + std::to_string(I), Centre, Domain, Role, {}});
}

void Cluster::addNode(const std::string &Name, const std::string &Centre) {
  this->NodeSpecs.push_back({Name, Centre});
}

std::uint16_t Cluster::httpPort(const std::string &Node) {
  for (std::size_t I = 0; I < this->NodeSpecs.size(); ++I)
    if (this->NodeSpecs[I].Name == Node)
      return static_cast<std::uint16_t>(this->Base + NodePort + I);
  throw std::runtime_error("no node " + Node);
}

std::uint16_t Cluster::peerPort(const std::string &Node) {
  return static_cast<std::uint16_t>(this->httpPort(Node) - NodePort + PeerPort);
}

std::uint16_t Cluster::vmPort(const std::string &Id) {
  for (std::size_t I = 0; I < this->VmSpecs.size(); ++I)
    if (this->VmSpecs[I].Id == Id)
      return static_cast<std::uint16_t>(this->Base + VmPort + I);
  throw std::runtime_error("no VM " + Id);
}

void Cluster::startPlatform() {
  std::ofstream File(this->Folder + "/vms.yaml");
  for (const VmSpec &Vm : this->VmSpecs) {
    File << "- {id: " << Vm.Id << ", data_centre: " << Vm.DataCentre
         << ", domain: " << Vm.Domain
         << ", host: 127.0.0.1, port: " << this->vmPort(Vm.Id)
         << ", labels: {role: " << Vm.Role;
    for (const auto &[Key, Value] : Vm.Labels)
      File << ", " << Key << ": " << Value;
    File << "}}\n";
  }
  File.close();
  this->Platform = std::make_unique<Process>(
      std::vector<std::string>{binary("tests/standin-platform"),
                               "--listen=127.0.0.1:" +
                                   std::to_string(this->Base),
                               "--vms=" + this->Folder + "/vms.yaml"},
      this->Folder + "/platform.log");
  bool Up = eventually(
      [&] { return this->atPlatform({.Path = "/stats"}).Status == 200; });
  if (!Up)
    throw std::runtime_error("the stand-in platform does not start");
}

void Cluster::startVm(const std::string &Id) {
  std::vector<std::string> Command{binary("tests/standin-target"),
                                   "--vms=" + this->Folder + "/vms.yaml",
                                   "--only=" + Id};
  Command.insert(Command.end(), this->TargetFlags.begin(),
                 this->TargetFlags.end());
  this->Vms[Id] =
      std::make_unique<Process>(Command, this->Folder + "/" + Id + ".log");
  eventually([&] { return this->atVm(Id, {.Path = "/counts"}).Status == 200; });
}

std::string Cluster::settingsFile(const std::string &Name) {
  std::string File = this->Folder + "/" + Name + ".yaml";
  std::ofstream Out(File);
  std::string Centre;
  Out << "node: " << Name << "\nhttp: 127.0.0.1:" << this->httpPort(Name)
      << "\npeer_listen: 127.0.0.1:" << this->peerPort(Name)
      << "\nplatform: 127.0.0.1:"
      << (this->PlatformProxyPort ? this->PlatformProxyPort : this->Base)
      << "\noperator_key_digest: " << digestKey("op") << "\npeers: [";
  bool First = true;
  for (const NodeSpec &Row : this->NodeSpecs) {
    if (Row.Name == Name) {
      Centre = Row.DataCentre;
      continue;
    }
    Out << (First ? "" : ", ") << "\"127.0.0.1:" << this->peerPort(Row.Name)
        << "\"";
    First = false;
  }
  Out << "]\ndata_centre: " << Centre << "\n" << this->ExtraSettings << "\n";
  return File;
}

void Cluster::startNode(const std::string &Name) {
  std::vector<std::string> Command{binary("waycoved"),
                                   "--settings=" + this->settingsFile(Name)};
  if (this->Suspendable) {
    Command[0] = binary("tests/waycoved-suspended");
    Command.insert(Command.begin(),
                   {"/usr/bin/env", "WAYCOVE_SUSPENDED=" + this->Folder + "/" +
                                        Name + ".suspended"});
  }
  this->Nodes[Name] =
      std::make_unique<Process>(Command, this->Folder + "/" + Name + ".log");
}

void Cluster::suspend(const std::string &Name) {
  this->node(Name).signal(SIGSTOP);
  this->SuspendedSince[Name] = std::chrono::steady_clock::now();
}

void Cluster::resume(const std::string &Name) {
  this->Suspended[Name] +=
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::steady_clock::now() - this->SuspendedSince.at(Name));
  // Replace the file atomically: every clock read opens it.
  std::string File = this->Folder + "/" + Name + ".suspended";
  std::ofstream(File + ".new") << this->Suspended[Name].count();
  std::filesystem::rename(File + ".new", File);
  this->node(Name).signal(SIGCONT);
}

void Cluster::start() {
  this->startPlatform();
  for (const VmSpec &Vm : this->VmSpecs)
    this->startVm(Vm.Id);
  for (const NodeSpec &Row : this->NodeSpecs)
    this->startNode(Row.Name);
  for (const NodeSpec &Row : this->NodeSpecs)
    if (!eventually([&] { return this->isReady(Row.Name); }))
      throw std::runtime_error(
          Row.Name + " does not become ready: " + this->logOf(Row.Name));
}

bool Cluster::isReady(const std::string &Name) {
  return this->ask(Name, {.Path = "/readyz"}).Status == 200;
}

void Cluster::killVm(const std::string &Id) {
  this->Vms.at(Id)->signal(SIGKILL);
  this->Vms.at(Id)->wait(std::chrono::milliseconds(5000));
}

void Cluster::killNode(const std::string &Name) {
  this->Nodes.at(Name)->signal(SIGKILL);
  this->Nodes.at(Name)->wait(std::chrono::milliseconds(5000));
}

Reply Cluster::ask(const std::string &Node, const HttpRequest &Request) {
  return http(this->httpPort(Node), Request);
}

Reply Cluster::generate(const std::string &Node, int Tokens, bool Stream,
                        std::map<std::string, std::string> Headers,
                        const std::string &Key) {
  Headers["Authorization"] = "Bearer " + Key;
  return this->ask(
      Node, {"POST", "/v1/models/model/generate",
             "{\"prompt\":\"p\",\"max_tokens\":" + std::to_string(Tokens) +
                 ",\"stream\":" + (Stream ? "true" : "false") + "}",
             Headers});
}

Reply Cluster::callService(const std::string &Node, const std::string &Key,
                           std::map<std::string, std::string> Headers,
                           const std::string &Body) {
  Headers.emplace("Authorization", "Bearer w1-key");
  if (!Key.empty())
    Headers["Idempotency-Key"] = Key;
  return this->ask(Node, {"POST", "/v1/services/ledger/sale", Body, Headers});
}

Reply Cluster::apply(const std::string &Node, const std::string &Kind,
                     const std::string &Name, const std::string &Spec,
                     std::int64_t BaseRevision) {
  std::map<std::string, std::string> Auth{{"Authorization", "Bearer op"}};
  std::uint64_t Revision = static_cast<std::uint64_t>(BaseRevision);
  if (BaseRevision < 0) {
    Reply Present = this->ask(
        Node, {"GET", "/operator/v1/objects?kind=" + Kind + "&name=" + Name, "",
               Auth});
    auto Rows = jsonOf(Present)->getArray("objects");
    Revision = Rows.isNull() || Rows->size() == 0
                   ? 0
                   : numberAt(Rows->getObject(0), "revision");
  }
  Poco::JSON::Object Body;
  Body.set("kind", Kind);
  Body.set("name", Name);
  Body.set("base", Revision);
  Body.set("body", "kind: " + Kind + "\nname: " + Name + "\nspec: " + Spec);
  return this->ask(Node, {"POST", "/operator/v1/apply", dumpJson(Body), Auth});
}

JsonObject Cluster::status(const std::string &Node) {
  return jsonOf(this->ask(
      Node,
      {"GET", "/operator/v1/status", "", {{"Authorization", "Bearer op"}}}));
}

int Cluster::serving(const std::string &Node) {
  auto Rows = this->status(Node)->getArray("groups");
  int Count = 0;
  for (unsigned I = 0; !Rows.isNull() && I < Rows->size(); ++I)
    Count += flagAt(Rows->getObject(I), "serves", false) ? 1 : 0;
  return Count;
}

std::uint64_t Cluster::counter(const std::string &Node,
                               const std::string &Name) {
  std::istringstream Lines(this->ask(Node, {.Path = "/metrics"}).Body);
  std::string Line;
  std::string Start = "waycove_" + Name + "_total ";
  while (std::getline(Lines, Line))
    if (Line.rfind(Start, 0) == 0)
      return std::stoull(Line.substr(Start.size()));
  return 0;
}

Reply Cluster::atVm(const std::string &Id, const HttpRequest &Request) {
  return http(this->vmPort(Id), Request);
}

Reply Cluster::atPlatform(const HttpRequest &Request) {
  return http(this->Base, Request);
}

void Cluster::vmFault(const std::string &Id, const std::string &Json) {
  this->atVm(Id, {"POST", "/faults", Json, {}});
}

void Cluster::platformFault(const std::string &Json) {
  this->atPlatform({"POST", "/faults", Json, {}});
}

int Cluster::callsOf(const std::string &Key) {
  int Sum = 0;
  for (const VmSpec &Vm : this->VmSpecs) {
    if (Vm.Role != "ledger")
      continue;
    JsonObject Keys =
        jsonOf(this->atVm(Vm.Id, {.Path = "/counts"}))->getObject("keys");
    if (!Keys.isNull())
      Sum += static_cast<int>(numberAt(Keys, Key));
  }
  return Sum;
}

std::string Cluster::logOf(const std::string &Name) {
  std::ifstream File(this->Folder + "/" + Name + ".log");
  return {std::istreambuf_iterator<char>(File), {}};
}

void publishUsual(Cluster &Run, const std::string &Node,
                  const std::string &Replicas, int Size) {
  Run.apply(Node, "workspace", "w1",
            "{key_digest: " + digestKey("w1-key") + ", labels: {tier: a}}");
  Run.apply(Node, "workspace", "w2",
            "{key_digest: " + digestKey("w2-key") + ", labels: {tier: b}}");
  Run.apply(Node, "service", "ledger",
            "{match: {role: [ledger]}, workspaces: {}, repeatable_methods: "
            "[GET]}");
  Run.apply(Node, "deployment", "model",
            "{model: m, version: v1, vms_per_replica: " + std::to_string(Size) +
                ", replicas: {" + Replicas +
                "}, match: {role: [engine]}, workspaces: {}}");
}

std::string freshKey(const std::string &Rest) {
  auto Now = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
  return std::to_string(Now.count()) + "-" + Rest;
}

std::string wholeText(int Count) {
  std::string Text;
  for (int I = 0; I < Count; ++I)
    Text += "w" + std::to_string(I) + " ";
  return Text;
}

std::vector<std::uint64_t> streamedIndexes(const std::string &Body) {
  std::vector<std::uint64_t> Found;
  std::istringstream Lines(Body);
  std::string Line;
  while (std::getline(Lines, Line))
    if (Line.rfind("data: ", 0) == 0)
      if (auto Row = parseJson(Line.substr(6));
          Row.ok() && (*Row)->has("index"))
        Found.push_back(numberAt(*Row, "index"));
  return Found;
}

} // namespace waycove::test
