// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

// What the cases of the second review share: stand-ins of the platform's store
// and of replicas, clients, and the processes of a small deployment. Written
// after PROTOCOL.md, with POSIX alone. All addresses are loopback addresses.

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/tcp.h>
#include <poll.h>
#include <set>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
inline const Clock::time_point Begin = Clock::now();
inline double now() {
  return std::chrono::duration<double>(Clock::now() - Begin).count();
}
inline void pause(double Seconds) {
  if (Seconds > 0)
    std::this_thread::sleep_for(std::chrono::duration<double>(Seconds));
}

/// What was sent, answered and run.
class Record {
public:
  explicit Record(const std::string &Path) : File(fopen(Path.c_str(), "w")) {}
  template <typename... T> void line(const char *Format, T... Args) {
    std::lock_guard Lock(this->Mutex);
    fprintf(this->File, "%8.3f ", now());
    fprintf(this->File, Format, Args...);
    fputc('\n', this->File);
    fflush(this->File);
  }

private:
  std::mutex Mutex;
  FILE *File;
};

// ---- Sockets and HTTP. ----

inline int listenOn(int &Port) {
  int Fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int One = 1;
  setsockopt(Fd, SOL_SOCKET, SO_REUSEADDR, &One, sizeof One);
  sockaddr_in At{};
  At.sin_family = AF_INET;
  At.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  At.sin_port = htons(static_cast<uint16_t>(Port));
  if (bind(Fd, reinterpret_cast<sockaddr *>(&At), sizeof At) != 0 ||
      listen(Fd, 1024) != 0) {
    close(Fd);
    return -1;
  }
  socklen_t Size = sizeof At;
  getsockname(Fd, reinterpret_cast<sockaddr *>(&At), &Size);
  Port = ntohs(At.sin_port);
  return Fd;
}

/// Ports below those of outgoing connections, which could take the port of a
/// process that is started again. They stay taken until all are known, so that
/// none is given twice.
inline std::vector<int> freePorts(std::size_t Count) {
  std::vector<int> Ports;
  std::vector<int> Fds;
  int Next = 12000 + static_cast<int>(getpid()) * 37 % 18000;
  for (; Ports.size() < Count && Next < 32000; ++Next) {
    int Port = Next;
    int Fd = listenOn(Port);
    if (Fd < 0)
      continue;
    Fds.push_back(Fd);
    Ports.push_back(Port);
  }
  if (Ports.size() < Count)
    _exit(2);
  for (int Fd : Fds)
    close(Fd);
  return Ports;
}

inline int dial(int Port, int ReceiveBuffer = 0) {
  int Fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (Fd < 0)
    return -1;
  if (ReceiveBuffer > 0)
    setsockopt(Fd, SOL_SOCKET, SO_RCVBUF, &ReceiveBuffer, sizeof ReceiveBuffer);
  sockaddr_in At{};
  At.sin_family = AF_INET;
  At.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  At.sin_port = htons(static_cast<uint16_t>(Port));
  if (connect(Fd, reinterpret_cast<sockaddr *>(&At), sizeof At) != 0) {
    close(Fd);
    return -1;
  }
  int One = 1;
  setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &One, sizeof One);
  return Fd;
}

inline bool sendAll(int Fd, const std::string &Bytes) {
  for (std::size_t At = 0; At < Bytes.size();) {
    ssize_t Sent = send(Fd, Bytes.data() + At, Bytes.size() - At, MSG_NOSIGNAL);
    if (Sent <= 0)
      return false;
    At += static_cast<std::size_t>(Sent);
  }
  return true;
}

/// Appends what arrives by \p Until. Returns the number of bytes, 0 at the end
/// of the connection, -1 after a reset and -2 if nothing arrives in time.
inline ssize_t receiveSome(int Fd, std::string &Buffer, double Until,
                           std::size_t Most = 65536) {
  pollfd Wait{Fd, POLLIN, 0};
  int Millis = static_cast<int>(std::max(0.0, Until - now()) * 1000);
  if (poll(&Wait, 1, Millis) <= 0)
    return -2;
  std::string Chunk(Most, '\0');
  ssize_t Got = recv(Fd, Chunk.data(), Chunk.size(), 0);
  if (Got > 0)
    Buffer.append(Chunk, 0, static_cast<std::size_t>(Got));
  return Got < 0 ? -1 : Got;
}

struct Message {
  std::string First;
  std::map<std::string, std::string> Fields;
  std::string Body;
  std::string field(const std::string &Name) const {
    auto At = this->Fields.find(Name);
    return At == this->Fields.end() ? "" : At->second;
  }
  int status() const {
    return this->First.size() > 12 ? atoi(this->First.c_str() + 9) : 0;
  }
};

/// Reads a message with a length. Returns false if it is not whole by \p Until.
inline bool readMessage(int Fd, std::string &Buffer, Message &Out, double Until,
                        std::size_t Most = 65536, double Pause = 0) {
  std::size_t End = 0;
  while ((End = Buffer.find("\r\n\r\n")) == std::string::npos)
    if (receiveSome(Fd, Buffer, Until, Most) <= 0)
      return false;
  std::istringstream Head(Buffer.substr(0, End + 2));
  Buffer.erase(0, End + 4);
  std::string Line;
  std::getline(Head, Out.First);
  Out.Fields.clear();
  while (std::getline(Head, Line)) {
    std::size_t Colon = Line.find(':');
    if (Colon == std::string::npos)
      continue;
    std::string Name = Line.substr(0, Colon);
    for (char &C : Name)
      C = static_cast<char>(tolower(C));
    std::string Value = Line.substr(Colon + 1);
    while (!Value.empty() && (Value.back() == '\r' || Value.back() == ' '))
      Value.pop_back();
    Value.erase(0, Value.find_first_not_of(' '));
    Out.Fields[Name] = Value;
  }
  auto Length = strtoul(Out.field("content-length").c_str(), nullptr, 10);
  while (Buffer.size() < Length) {
    if (receiveSome(Fd, Buffer, Until, Most) <= 0)
      return false;
    pause(Pause);
  }
  Out.Body = Buffer.substr(0, Length);
  Buffer.erase(0, Length);
  return true;
}

/// Serves connections, each on a thread, until the process ends.
class Server {
public:
  /// Returns false if the connection is to end.
  using Handler = std::function<bool(int Fd, const Message &)>;
  Server(int Port, Handler Handle) : Port(Port), Handle(std::move(Handle)) {
    this->Fd = listenOn(this->Port);
    if (this->Fd < 0) {
      fprintf(stderr, "no port\n");
      exit(2);
    }
    std::thread([this] {
      while (true) {
        int Peer = accept4(this->Fd, nullptr, nullptr, SOCK_CLOEXEC);
        if (Peer >= 0)
          std::thread([this, Peer] { this->serve(Peer); }).detach();
      }
    }).detach();
  }
  int port() const { return this->Port; }

private:
  void serve(int Peer) {
    int One = 1;
    setsockopt(Peer, IPPROTO_TCP, TCP_NODELAY, &One, sizeof One);
    std::string Buffer;
    Message Request;
    while (readMessage(Peer, Buffer, Request, now() + 60) &&
           this->Handle(Peer, Request))
      ;
    close(Peer);
  }
  int Port;
  Handler Handle;
  int Fd = -1;
};

inline std::string reply(int Status, const std::string &Body,
                         const std::string &Fields = "") {
  return "HTTP/1.1 " + std::to_string(Status) + " -\r\n" + Fields +
         "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

// ---- The platform's store: a log. ----

class Store {
public:
  explicit Store(int Port)
      : Http(Port, [this](int Fd, const Message &In) {
          return sendAll(Fd, this->answer(In));
        }) {}
  int port() const { return this->Http.port(); }
  void put(const std::string &Topic, const std::string &Key,
           const std::string &Value) {
    std::lock_guard Lock(this->Mutex);
    this->Topics[Topic].push_back({Key, Value});
    this->Changed.notify_all();
  }

private:
  using Query = std::map<std::string, std::string>;
  static std::string bigEndian(std::uint64_t Value, int Bytes) {
    std::string Out;
    for (int I = Bytes - 1; I >= 0; --I)
      Out.push_back(static_cast<char>(Value >> (8 * I)));
    return Out;
  }
  static std::string base64(const std::string &In) {
    static const char Table[] =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string Out;
    for (std::size_t I = 0; I < In.size(); I += 3) {
      unsigned Word = 0;
      for (std::size_t J = 0; J < 3; ++J)
        Word = Word << 8 | (I + J < In.size()
                                ? static_cast<unsigned char>(In[I + J])
                                : 0U);
      for (std::size_t J = 0; J < 4; ++J)
        Out.push_back(I + J <= In.size() ? Table[Word >> (18 - 6 * J) & 63]
                                         : '=');
    }
    return Out;
  }
  static std::string textOf(const std::string &Json, const std::string &Name) {
    std::size_t At = Json.find("\"" + Name + "\"");
    if (At == std::string::npos)
      return "";
    At = Json.find_first_not_of(" :\"", At + Name.size() + 2);
    return Json.substr(At, Json.find_first_of(",}\"", At) - At);
  }
  std::string answer(const Message &In) {
    std::istringstream Words(In.First);
    std::string Method;
    std::string Uri;
    Words >> Method >> Uri;
    std::string Path = Uri.substr(0, Uri.find('?'));
    Query Q;
    if (Uri.find('?') != std::string::npos) {
      std::istringstream Parts(Uri.substr(Uri.find('?') + 1));
      for (std::string Part; std::getline(Parts, Part, '&');)
        Q[Part.substr(0, Part.find('='))] = Part.substr(Part.find('=') + 1);
    }
    std::unique_lock Lock(this->Mutex);
    auto &Rows = this->Topics[Q["topic"]];
    if (Path == "/api/log-newest") {
      std::map<std::string, std::size_t> Newest;
      for (std::size_t I = 0; I < Rows.size(); ++I)
        Newest[Rows[I].first] = I;
      std::string Items;
      for (const auto &[Key, I] : Newest)
        if (!Rows[I].second.empty())
          Items += (Items.empty() ? "" : ",") + std::string("{\"key\":\"") +
                   Key + "\",\"value\":\"" + base64(Rows[I].second) +
                   "\",\"offset\":" + std::to_string(I) + "}";
      return reply(200, "{\"items\":[" + Items +
                            "],\"has_more\":false,\"end_offset\":" +
                            std::to_string(Rows.size()) + "}");
    }
    if (Path == "/api/log-read") {
      std::size_t From = strtoul(Q["from"].c_str(), nullptr, 10);
      std::chrono::milliseconds Wait(strtoul(Q["wait_ms"].c_str(), nullptr, 10));
      this->Changed.wait_for(Lock, Wait, [&] { return Rows.size() > From; });
      std::string Out = bigEndian(Rows.size(), 8) + bigEndian(0, 8);
      std::size_t Most = Q.count("max_size") ? std::stoul(Q["max_size"]) : 1024;
      for (std::size_t I = From; I < Rows.size() && I < From + Most; ++I)
        Out += bigEndian(1 + Rows[I].first.size() + Rows[I].second.size(), 4) +
               static_cast<char>(Rows[I].first.size()) + Rows[I].first +
               Rows[I].second;
      return reply(200, Out);
    }
    if (Path == "/api/log-append") {
      for (std::size_t At = 0; At + 5 <= In.Body.size();) {
        std::size_t Length = 0;
        for (int I = 0; I < 4; ++I)
          Length = Length << 8 | static_cast<unsigned char>(In.Body[At + I]);
        std::string Row = In.Body.substr(At + 4, Length);
        auto KeySize = static_cast<unsigned char>(Row[0]);
        Rows.push_back({Row.substr(1, KeySize), Row.substr(1 + KeySize)});
        At += 4 + Length;
      }
      this->Changed.notify_all();
      return reply(200, "{\"offset\":0,\"end_offset\":" +
                            std::to_string(Rows.size()) + "}");
    }
    if (Path == "/api/log-join")
      return reply(200, this->join(textOf(In.Body, "member"),
                                   atof(textOf(In.Body, "ttl_ms").c_str())));
    if (Path == "/api/log-leave") {
      this->Generation += this->Members.erase(textOf(In.Body, "member"));
      return reply(200, "{}");
    }
    return reply(404, "{}");
  }
  std::string join(const std::string &Member, double Ttl) {
    constexpr unsigned Parts = 12;
    std::size_t Gone = std::erase_if(
        this->Members, [](const auto &Row) { return Row.second < now(); });
    bool IsNew = !this->Members.count(Member);
    this->Members[Member] = now() + Ttl / 1000;
    this->Generation += Gone > 0 || IsNew ? 1 : 0;
    std::string Rows;
    std::size_t Index = 0;
    for (const auto &[Name, Until] : this->Members) {
      for (unsigned Part = 0; Name == Member && Part < Parts; ++Part)
        if (Part % this->Members.size() == Index)
          Rows += (Rows.empty() ? "" : ",") +
                  std::string("[\"waycove.domains\",") + std::to_string(Part) +
                  ",0]";
      ++Index;
    }
    return "{\"generation\":" + std::to_string(this->Generation) +
           ",\"parts\":[" + Rows + "]}";
  }

  std::mutex Mutex;
  std::condition_variable Changed;
  std::map<std::string, std::vector<std::pair<std::string, std::string>>> Topics;
  std::map<std::string, double> Members;
  std::uint64_t Generation = 0;
  Server Http;
};

/// The operator's configuration: one service, with a route of each plain type.
inline std::string configuration() {
  auto Route = [](const char *Name, const char *Type, int Attempts) {
    return std::string("{\"name\":\"") + Name + "\",\"host\":\"a.example\"," +
           "\"path_prefix\":\"/" + Name + "/\",\"type\":\"" + Type +
           "\",\"timeout_ms\":8000,\"goal_ms\":300,\"priority\":1," +
           "\"service\":\"plain\",\"max_attempts\":" + std::to_string(Attempts) +
           ",\"public\":false}";
  };
  return "{\"version\":1,\"routes\":[" + Route("safe", "idempotent", 2) + "," +
         Route("once", "non_idempotent", 1) +
         "],\"services\":[{\"name\":\"plain\",\"health_path\":\"/health\","
         "\"max_conns\":580}],\"limits\":{\"max_header_bytes\":16384,"
         "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
         "\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"t1\","
         "\"api_keys\":[\"key-1\"]}]}";
}

/// A replica of the plain service.
class Replica {
public:
  Replica(Store &Registry, const std::string &Id, const std::string &Zone,
          unsigned Slots, Server::Handler Handle)
      : Http(0, [Id, Handle = std::move(Handle)](int Fd, const Message &In) {
          std::string Field = "X-Replica-Id: " + Id + "\r\n";
          // Reports and health checks need neither a slot nor an id.
          if (In.First.find(" /api/report ") != std::string::npos)
            return sendAll(Fd, reply(200,
                                     "{\"phase\":\"unified\",\"models\":[],"
                                     "\"utilization\":false,\"sequence\":0,"
                                     "\"queued\":0,\"active\":0,\"kv_used\":0,"
                                     "\"kv_total\":1,\"handles\":0}",
                                     Field + "Content-Type: "
                                             "application/json\r\n"));
          if (In.First.find(" /health ") != std::string::npos)
            return sendAll(Fd, reply(200, "", Field));
          // At the address of another replica, which has ended.
          std::string Wanted = In.field("x-expect-replica");
          if (!Wanted.empty() && Wanted != Id)
            return sendAll(Fd, reply(421, "", Field));
          return Handle(Fd, In);
        }) {
    std::thread([this, &Registry, Id, Zone, Slots] {
      for (int Sequence = 1;; ++Sequence) {
        Registry.put("keyed.servers", Id,
                     "{\"service\":\"plain\",\"address\":\"127.0.0.1:" +
                         std::to_string(this->Http.port()) + "\",\"zone\":\"" +
                         Zone + "\",\"version\":\"v1\",\"slots\":" +
                         std::to_string(Slots) +
                         ",\"state\":\"ready\",\"cold_left_ms\":0,"
                         "\"sequence\":" +
                         std::to_string(Sequence) + "}");
        pause(1.2);
      }
    }).detach();
  }

private:
  Server Http;
};

// ---- The machines. ----

/// One machine with its process, started as the deploy file says.
class Machine {
public:
  Machine(std::string Name, std::string Zone, std::string Folder,
          std::vector<int> Ports)
      : Name(std::move(Name)), Zone(std::move(Zone)), Folder(std::move(Folder)),
        Http(Ports[0]), Ready(Ports[1]), Control(Ports[2]) {}

  void start(int StorePort, const std::vector<int> &Seeds, bool First) {
    std::string File = this->Folder + "/" + this->Name + ".yaml";
    std::ofstream Out(File);
    auto At = [](int Port) { return "127.0.0.1:" + std::to_string(Port); };
    Out << "node: \"" << this->Name << "\"\ndata_centre: \"" << this->Zone
        << "\"\nhttp: " << At(this->Http) << "\npeer_listen: "
        << At(this->Control) << "\nplatform: " << At(StorePort)
        << "\nentry:\n  ready: " << At(this->Ready) << "\n";
    if (First)
      Out << "  first_start: true\n";
    Out << "  revoke_bound_ms: 5000\n  revoke_fail_closed: true\n"
           "  drain_bound_ms: 3000\n  config_bound_ms: 3000\n  grace_s: 8\n"
           "  retry_ratio: 0.2\n  retry_slack: 362\n  retry_window_s: 10\n"
           "  lease_least_ms: 1000\n  target_heartbeat_ms: 1200\n"
           "  work_parts: 12\n  seeds: [";
    for (std::size_t I = 0; I < Seeds.size(); ++I)
      Out << (I ? "," : "") << "\"" << At(Seeds[I]) << "\"";
    Out << "]\n  regions:\n    \"a\": \"r\"\n    \"b\": \"r\"\n    \"c\": "
           "\"r\"\n  memory_mb: 260\n  link_mbps: 1000.0\n";
    Out.close();
    std::string Flag = "--settings=" + File;
    std::string Log = this->Folder + "/" + this->Name + ".log";
    this->Pid = fork();
    if (this->Pid == 0) {
      // It ends with this program, however that ends.
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      rlimit Files{4100, 4100};
      setrlimit(RLIMIT_NOFILE, &Files);
      int Fd = open(Log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(Fd, 1);
      dup2(Fd, 2);
      execl("target/waycoved", "target/waycoved", Flag.c_str(), nullptr);
      _exit(127);
    }
  }
  bool isReady() const {
    int Fd = dial(this->Ready);
    if (Fd < 0)
      return false;
    std::string Buffer;
    Message Answer;
    bool Whole =
        sendAll(Fd, "GET /api/ready HTTP/1.1\r\nHost: a.example\r\n\r\n") &&
        readMessage(Fd, Buffer, Answer, now() + 1);
    close(Fd);
    return Whole && Answer.status() == 200;
  }
  void end(int Signal = SIGKILL) {
    if (this->Pid <= 0)
      return;
    kill(this->Pid, Signal);
    waitpid(this->Pid, nullptr, 0);
    this->Pid = -1;
  }
  /// Whether the process has ended by itself.
  bool hasEnded() { return this->Pid > 0 && waitpid(this->Pid, nullptr, WNOHANG) == this->Pid; }
  /// Memory of its own, in bytes: without files that are mapped.
  std::size_t memory() const {
    std::ifstream In("/proc/" + std::to_string(this->Pid) + "/status");
    for (std::string Line; std::getline(In, Line);)
      if (Line.rfind("RssAnon:", 0) == 0)
        return strtoul(Line.c_str() + 8, nullptr, 10) * 1024;
    return 0;
  }

  const std::string Name;
  const std::string Zone;
  const std::string Folder;
  const int Http;
  const int Ready;
  const int Control;
  pid_t Pid = -1;
};

/// Three machines in three zones.
class Deployment {
public:
  Deployment() {
    const char *Base = getenv("TMPDIR");
    std::string Pattern = std::string(Base ? Base : "/tmp") + "/review-XXXXXX";
    this->Folder = mkdtemp(Pattern.data());
    std::vector<int> Ports = freePorts(10);
    this->Log = std::make_unique<Store>(Ports[9]);
    this->Log->put("keyed.op", "config", configuration());
    for (int I = 0; I < 3; ++I)
      this->Machines.emplace_back(std::make_unique<Machine>(
          "edge-" + std::to_string(I), std::string(1, static_cast<char>('a' + I)),
          this->Folder,
          std::vector<int>(Ports.begin() + 3 * I, Ports.begin() + 3 * I + 3)));
  }
  /// Ends all processes and this one, whose threads still serve.
  [[noreturn]] void finish(int Result) {
    for (auto &Each : this->Machines)
      Each->end();
    std::string Remove = "rm -rf '" + this->Folder + "'";
    if (!getenv("KEEP") && system(Remove.c_str()) != 0)
      fprintf(stderr, "the folder stays\n");
    fflush(nullptr);
    _exit(Result);
  }
  std::vector<int> seeds() const {
    std::vector<int> Ports;
    for (const auto &Each : this->Machines)
      Ports.push_back(Each->Control);
    return Ports;
  }
  void start(Machine &Each, bool First) {
    Each.start(this->Log->port(), this->seeds(), First);
  }
  /// Returns false if not all are ready in time.
  bool startAll() {
    for (auto &Each : this->Machines)
      this->start(*Each, true);
    for (auto &Each : this->Machines)
      for (double Until = now() + 20; !Each->isReady(); pause(0.1))
        if (now() > Until)
          return false;
    return true;
  }

  std::string Folder;
  std::unique_ptr<Store> Log;
  std::vector<std::unique_ptr<Machine>> Machines;
};

inline std::string request(const std::string &Method, const std::string &Path,
                           const std::string &Id,
                           const std::string &Fields = "",
                           const std::string &Body = "") {
  return Method + " " + Path + " HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: " +
         Id + "\r\nX-Deadline-Ms: 8000\r\nAuthorization: Bearer key-1\r\n" +
         Fields +
         (Method == "GET" ? ""
                          : "Content-Length: " + std::to_string(Body.size()) +
                                "\r\n") +
         "\r\n" + Body;
}

inline std::string answerOf(const Message &Request, const std::string &Replica,
                            const std::string &Body) {
  return reply(200, Body,
               "X-Request-Id: " + Request.field("x-request-id") +
                   "\r\nX-Replica-Seal: " + Replica + "." +
                   std::to_string(Body.size()) + "\r\n");
}

/// Whether the case is played with its disruption.
inline bool hasTrouble() {
  const char *Set = getenv("TROUBLE");
  return !Set || strcmp(Set, "0") != 0;
}

} // namespace review
