// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// Clients ask the same few things again and again. All processes are killed and
// start again. With trouble, replicas lose answers by resets for some seconds
// around that. It is watched whether requests are served afterwards.

#include "drive.h"

using namespace review;

namespace {

constexpr unsigned Groups = 9; // of two replicas each
constexpr unsigned Clients = 16;
constexpr double Think = 0.5;
constexpr double TroubleAt = 12;
/// for_s of answer_lost
constexpr double TroubleTime = 6.2;
/// Answers that are not lost come first in that time.
constexpr double FirstLoss = 2.4;
constexpr double FaultAt = TroubleAt + FirstLoss;
constexpr double Recover = 12;
constexpr double Length = 48;

std::string valueOf(const std::string &Json, const std::string &Name) {
  std::size_t At = Json.find("\"" + Name + "\"");
  if (At == std::string::npos)
    return "";
  At = Json.find_first_not_of(" :", At + Name.size() + 2);
  if (Json[At] == '"')
    return Json.substr(At + 1, Json.find('"', At + 1) - At - 1);
  return Json.substr(At, Json.find_first_of(",}", At) - At);
}

/// A member of a group, as PROTOCOL.md tells of model replicas.
class Member {
public:
  using Lose = std::function<bool(unsigned)>;
  Member(Store &Registry, unsigned Index, Lose IsLost)
      : Registry(Registry), Index(Index), IsLost(std::move(IsLost)),
        Id("i-llm" + std::to_string(100 + Index)),
        Zone(1, static_cast<char>('a' + Index % 3)),
        Http(0, [this](int Fd, const Message &In) { return this->serve(Fd, In); }) {
    std::thread([this] {
      while (true) {
        this->publish();
        pause(1.2);
      }
    }).detach();
  }
  std::atomic<unsigned> Ran{0};
  std::atomic<unsigned> Lost{0};
  const std::string &id() const { return this->Id; }

private:
  std::string group() const {
    if (this->Name.empty())
      return "{}";
    return "{\"name\":\"" + this->Name + "\",\"epoch\":" +
           std::to_string(this->Epoch) + ",\"rank\":" +
           std::to_string(this->Rank) + ",\"state\":\"" + this->State + "\"}";
  }
  std::string statement() {
    return "\"phase\":\"unified\",\"models\":[" + this->Models +
           "],\"domain\":\"d-" + this->Zone +
           "\",\"staged\":[\"m0\"],\"group\":" + this->group();
  }
  void publish() {
    std::string Value;
    {
      std::lock_guard Lock(this->Mutex);
      Value = "{\"service\":\"llm\",\"address\":\"127.0.0.1:" +
              std::to_string(this->Http.port()) + "\",\"zone\":\"" +
              this->Zone +
              "\",\"version\":\"v1\",\"slots\":26,\"state\":\"ready\","
              "\"cold_left_ms\":0," +
              this->statement() + ",\"sequence\":" +
              std::to_string(++this->Beats) + "}";
    }
    this->Registry.put("keyed.servers", this->Id, Value);
  }
  /// Changes the state a little later, if the group is still the same.
  void later(double Delay, const std::string &From, const std::string &To) {
    std::string Of = this->Name;
    std::thread([this, Delay, From, To, Of] {
      pause(Delay);
      {
        std::lock_guard Lock(this->Mutex);
        if (this->Name != Of || this->State != From)
          return;
        this->State = To;
        if (To == "ready")
          this->Models = "{\"name\":\"m0\",\"version\":1,\"adapters\":[]}";
      }
      this->publish();
    }).detach();
  }
  int order(const std::string &Body) {
    std::string Op = valueOf(Body, "op");
    std::string Of = valueOf(Body, "group");
    std::uint64_t At = strtoull(valueOf(Body, "epoch").c_str(), nullptr, 10);
    std::lock_guard Lock(this->Mutex);
    if (Op == "phase")
      return 200;
    if (Op == "join") {
      if (At < this->Seen)
        return 412;
      this->Seen = At;
      this->Name = Of;
      this->Epoch = At;
      this->State = "joining";
      std::size_t First = Body.find("[") + 1;
      std::string Own = "\"" + this->Id + "\"";
      std::string Before = Body.substr(First, Body.find(Own) - First);
      this->Rank = static_cast<unsigned>(
          std::count(Before.begin(), Before.end(), ','));
      this->later(0.2, "joining", "ready");
      return 202;
    }
    if (this->Name != Of || this->Epoch != At)
      return 409;
    if (Op == "leave") {
      this->Name.clear();
      return 200;
    }
    if (Op == "open") {
      if (this->State == "open")
        return 200;
      if (this->State != "ready" || this->Rank != 0)
        return 409;
      this->later(0.3, "ready", "open");
      return 202;
    }
    if (Op == "close") {
      this->State = "ready";
      return 200;
    }
    return 400;
  }
  bool serve(int Fd, const Message &In) {
    const std::string Field = "X-Replica-Id: " + this->Id + "\r\n";
    std::string Wanted = In.field("x-expect-replica");
    if (!Wanted.empty() && Wanted != this->Id)
      return sendAll(Fd, reply(421, "", Field));
    if (In.First.find(" /api/order ") != std::string::npos) {
      int Status = this->order(In.Body);
      this->publish();
      return sendAll(Fd, reply(Status, "{}"));
    }
    if (In.First.find(" /api/report ") != std::string::npos) {
      std::lock_guard Lock(this->Mutex);
      return sendAll(
          Fd, reply(200,
                    "{" + this->statement() +
                        ",\"utilization\":false,\"sequence\":" +
                        std::to_string(this->Beats) +
                        ",\"queued\":0,\"active\":0,\"kv_used\":0,"
                        "\"kv_total\":1400000,\"handles\":0}",
                    Field + "Content-Type: application/json\r\n"));
    }
    bool Heads = false;
    {
      std::lock_guard Lock(this->Mutex);
      Heads = this->State == "open" && this->Rank == 0 && !this->Name.empty();
    }
    if (!Heads)
      return sendAll(Fd, reply(421, "", Field));
    pause(0.04);
    if (this->IsLost(this->Index)) {
      // It ran the request, and its answer is lost.
      linger Reset{1, 0};
      setsockopt(Fd, SOL_SOCKET, SO_LINGER, &Reset, sizeof Reset);
      return false;
    }
    std::string Events;
    unsigned long Begin =
        strtoul(In.field("last-event-id").c_str(), nullptr, 10);
    for (unsigned long I = Begin + 1; I <= 5; ++I)
      Events += "id: " + std::to_string(I) + "\ndata: piece " +
                std::to_string(I) + "\n\n";
    return sendAll(Fd, reply(200, Events,
                             "X-Request-Id: " + In.field("x-request-id") +
                                 "\r\nX-Replica-Seal: " + this->Id +
                                 ".5\r\nContent-Type: text/event-stream\r\n"));
  }

  Store &Registry;
  const unsigned Index;
  const Lose IsLost;
  const std::string Id;
  const std::string Zone;
  std::mutex Mutex;
  std::string Name;
  std::uint64_t Epoch = 0;
  std::uint64_t Seen = 0;
  unsigned Rank = 0;
  std::string State;
  std::string Models;
  std::uint64_t Beats = 0;
  Server Http;
};

std::string modelConfiguration() {
  return "{\"version\":2,\"routes\":[{\"name\":\"chat\",\"host\":\"a.example\","
         "\"path_prefix\":\"/chat/\",\"type\":\"streaming\",\"timeout_ms\":8000,"
         "\"goal_ms\":500,\"priority\":1,\"service\":\"llm\",\"max_attempts\":2,"
         "\"public\":false,\"sticky\":true,\"resumable\":true,"
         "\"gap_target_ms\":300}],\"services\":[{\"name\":\"llm\","
         "\"health_path\":\"/health\",\"max_conns\":474,\"engine\":{\"slots\":26,"
         "\"kv_capacity\":1400000,\"stride\":5,\"models\":[{\"name\":\"m0\","
         "\"size\":2,\"share\":1.0,\"pace\":1.0,\"load_s\":12.0,\"warm_s\":1.1}],"
         "\"step_ms\":6.07,\"per_seq_ms\":0.241,\"context_per_k\":0.00488,"
         "\"read_per_s\":46000.0,\"pairs_per_m\":0.7,\"chunk\":2048,"
         "\"loads_per_s\":4.0,\"loads_at_once\":6,\"usual\":{\"prompt\":1076,"
         "\"answer\":116},\"retains\":1,\"form_ms\":300.0}}],"
         "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
         "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":["
         "{\"name\":\"t1\",\"api_keys\":[\"key-1\"]}]}";
}

struct Row {
  double At;
  std::string End;
};

} // namespace

int main(int, char **Args) {
  signal(SIGPIPE, SIG_IGN);
  Record Out(Args[1]);
  {
    Deployment Site;
    Site.Log->put("keyed.op", "config", modelConfiguration());
    std::atomic<double> Start{1e9};
    std::mutex LossMutex;
    std::vector<std::unique_ptr<Member>> Members;
    auto IsLost = [&](unsigned Index) {
      double At = now() - Start;
      std::lock_guard Lock(LossMutex);
      Member &Own = *Members[Index];
      if (!hasTrouble() || At < TroubleAt || At >= TroubleAt + TroubleTime)
        return false;
      ++Own.Ran;
      // No replica loses more than 0.4 of what it runs in this time.
      bool Loses = At >= TroubleAt + FirstLoss && Own.Lost + 1 <= 0.4 * Own.Ran;
      Own.Lost += Loses ? 1 : 0;
      if (At >= TroubleAt + FirstLoss)
        Out.line("%s ran a request; its answer is %s", Own.id().c_str(),
                 Loses ? "lost" : "sent");
      return Loses;
    };
    Members.reserve(2 * Groups);
    for (unsigned I = 0; I < 2 * Groups; ++I)
      Members.emplace_back(std::make_unique<Member>(*Site.Log, I, IsLost));
    if (!Site.startAll()) {
      Out.line("the machines do not become ready");
      Site.finish(2);
    }
    pause(8);
    Start = now();
    Out.line("begin");
    std::mutex Mutex;
    std::vector<Row> Rows;
    std::atomic<unsigned> Number{0};
    auto Call = [&](unsigned Client) {
      pause(Think * Client / ::Clients);
      while (now() < Start + Length) {
        unsigned Own = ++Number;
        std::string Id = "r" + std::to_string(Own);
        std::string Thing = std::to_string(Own);
        double SentAt = now();
        std::string End;
        // One retry inside the deadline, at another machine.
        for (unsigned Try = 0; Try < 2; ++Try) {
          int Fd = dial(Site.Machines[(Client + Try) % 3]->Http);
          End = "no connection";
          if (Fd >= 0) {
            std::string Attempt = Id + (Try ? "b" : "a");
            std::string Fields =
                "X-Model: m0\r\nX-Token-Count: 1000,25\r\nX-Prefix-Hash: "
                "5c1e07a2:800," +
                std::to_string(10000000 + Own) + ":200\r\n";
            std::string Buffer;
            Message Answer;
            End = "cut off";
            if (sendAll(Fd, request("POST", "/chat/alarm-" + Thing, Attempt,
                                    Fields, "explain alarm " + Thing))) {
              // Streams come in chunks: read to their end.
              double Until = now() + 8;
              while (Buffer.find("\r\n0\r\n\r\n") == std::string::npos &&
                     (Buffer.compare(0, 12, "HTTP/1.1 200") == 0 ||
                      Buffer.find("}") == std::string::npos))
                if (receiveSome(Fd, Buffer, Until) <= 0)
                  break;
              if (Buffer.size() > 12) {
                End = Buffer.substr(9, 3);
                std::size_t Kind = Buffer.find("\"kind\":\"");
                if (Kind != std::string::npos)
                  End += " " + Buffer.substr(Kind + 8,
                                             Buffer.find('"', Kind + 8) -
                                                 Kind - 8);
                if (End == "200" &&
                    Buffer.find("\r\n0\r\n\r\n") == std::string::npos)
                  End = "cut off";
              }
            }
            close(Fd);
          }
          if (End == "200")
            break;
          pause(0.5);
        }
        {
          std::lock_guard Lock(Mutex);
          Rows.push_back({SentAt - Start, End});
        }
        pause(SentAt + Think - now());
      }
    };
    std::vector<std::thread> Threads;
    for (unsigned I = 0; I < ::Clients; ++I)
      Threads.emplace_back(Call, I);
    pause(Start + FaultAt - now());
    Out.line("final fault: all processes are killed");
    for (auto &Each : Site.Machines)
      Each->end();
    pause(0.7);
    for (auto &Each : Site.Machines)
      Site.start(*Each, false);
    double Back = now() - Start;
    Out.line("all processes are started again");
    for (std::thread &Each : Threads)
      Each.join();
    unsigned Before = 0;
    unsigned ServedBefore = 0;
    unsigned After = 0;
    unsigned ServedAfter = 0;
    std::map<std::string, unsigned> Ends;
    for (const Row &Each : Rows) {
      bool Served = Each.End == "200";
      if (Each.At < FaultAt) {
        ++Before;
        ServedBefore += Served;
      } else if (Each.At >= Back + Recover) {
        ++After;
        ServedAfter += Served;
        ++Ends[Each.End];
      }
    }
    std::map<int, std::map<std::string, unsigned>> BySecond;
    for (const Row &Each : Rows)
      ++BySecond[static_cast<int>(Each.At) / 2 * 2][Each.End];
    for (const auto &[Second, Of] : BySecond)
      for (const auto &[End, Count] : Of)
        Out.line("from second %d: %s: %u", Second, End.c_str(), Count);
    unsigned Affected = 0;
    for (const auto &Each : Members)
      if (Each->Lost > 0) {
        ++Affected;
        Out.line("%s lost %u of %u answers", Each->id().c_str(),
                 Each->Lost.load(), Each->Ran.load());
      }
    Out.line("replicas that lost answers: %u of %u", Affected, 2 * Groups);
    Out.line("before the final fault %u of %u requests were served; from %.0f s "
             "after the machines were back, %u of %u",
             ServedBefore, Before, Recover, ServedAfter, After);
    int Result = 2;
    if (4 * ServedBefore < Before || After == 0)
      Out.line("a quarter was not served before: no case");
    else
      Result = 4 * ServedAfter < After ? 1 : 0;
    Out.line(Result == 1 ? "BROKEN" : Result == 0 ? "held" : "did not run");
    Site.finish(Result);
  }
}
