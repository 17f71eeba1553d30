// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// Clients ask for answers of 4 MB, always as many a second. With trouble they
// read them slowly. A process that goes over its memory is killed and started
// again, as DEPLOY.md says.

#include "drive.h"

using namespace review;

namespace {

constexpr std::size_t AnswerBytes = 4 << 20;
constexpr std::size_t MemoryBytes = 260UL << 20;
constexpr double PerSecond = 14; // at each machine
constexpr double Length = 36;

} // namespace

int main(int, char **Args) {
  signal(SIGPIPE, SIG_IGN);
  Record Out(Args[1]);
  {
    Deployment Site;
    const std::string Body(AnswerBytes, 'a');
    std::atomic<unsigned> Runs{0};
    std::vector<std::unique_ptr<Replica>> Replicas;
    for (int I = 0; I < 7; ++I) {
      std::string Id = "i-plain" + std::to_string(I);
      Replicas.emplace_back(std::make_unique<Replica>(
          *Site.Log, Id, std::string(1, static_cast<char>('a' + I % 3)), 6,
          [&, Id](int Fd, const Message &In) {
            ++Runs;
            return sendAll(Fd, answerOf(In, Id, Body));
          }));
    }
    if (!Site.startAll()) {
      Out.line("the machines do not become ready");
      Site.finish(2);
    }
    bool Slow = hasTrouble();
    Out.line("begin; clients read %s", Slow ? "slowly" : "at once");
    std::atomic<bool> Ending{false};
    std::mutex Mutex;
    std::map<std::string, unsigned> Ends;
    std::map<std::string, unsigned> Kills;
    std::map<std::string, std::size_t> Peaks;
    // The platform.
    std::thread Platform([&] {
      while (!Ending) {
        for (auto &Each : Site.Machines) {
          std::size_t Used = Each->memory();
          std::size_t &Peak = Peaks[Each->Name];
          Peak = std::max(Peak, Used);
          if (Each->hasEnded()) {
            // Not counted here.
            Out.line("%s ended by itself", Each->Name.c_str());
            pause(0.2);
            Site.start(*Each, false);
            continue;
          } else if (Used <= MemoryBytes) {
            continue;
          } else {
            Out.line("%s uses %zu MB of 260: killed", Each->Name.c_str(),
                     Used >> 20);
            Each->end();
          }
          ++Kills[Each->Name];
          pause(0.2);
          Site.start(*Each, false);
        }
        pause(0.02);
      }
    });
    // The clients.
    auto Ask = [&](std::size_t At, unsigned Number) {
      std::string Id = "r" + std::to_string(Number);
      double SentAt = now();
      double Took = 0;
      int Fd = dial(Site.Machines[At]->Http, 65536);
      std::string End = "no connection";
      if (Fd >= 0) {
        std::string Buffer;
        Message Answer;
        sendAll(Fd, request("GET", "/safe/" + Id, Id));
        // Up to 64 KB each 0.07 s: some 6 s in all, within the deadline of 8 s.
        bool Whole = readMessage(Fd, Buffer, Answer, now() + 8, 65536,
                                 Slow ? 0.07 : 0);
        Took = now() - SentAt;
        End = Whole ? std::to_string(Answer.status()) +
                          (Answer.status() == 200 && Answer.Body != Body
                               ? " with another body"
                               : "")
                    : "cut off";
        close(Fd);
      }
      Out.line("%s to edge-%zu: %s after %.2f s", Id.c_str(), At, End.c_str(),
               Took);
      std::lock_guard Lock(Mutex);
      ++Ends[End];
    };
    std::vector<std::thread> Clients;
    double Start = now();
    for (unsigned I = 0; now() < Start + Length; ++I) {
      for (std::size_t At = 0; At < 3; ++At)
        Clients.emplace_back(Ask, At, 3 * I + static_cast<unsigned>(At));
      pause(Start + (I + 1) / PerSecond - now());
    }
    for (std::thread &Each : Clients)
      Each.join();
    Ending = true;
    Platform.join();
    unsigned All = 0;
    for (const auto &[Name, Count] : Kills)
      All += Count;
    for (const auto &[Name, Peak] : Peaks)
      Out.line("%s: peak %zu MB", Name.c_str(), Peak >> 20);
    for (const auto &[End, Count] : Ends)
      Out.line("requests that ended with '%s': %u", End.c_str(), Count);
    Out.line("run: %u; processes over their memory: %u times, on %zu of 3 "
             "machines",
             Runs.load(), All, Kills.size());
    // Fault: three times in the day, on a tenth of the machines and on two.
    int Result = All >= 3 && Kills.size() >= 2 ? 1 : 0;
    Out.line(Result ? "BROKEN" : "held");
    Site.finish(Result);
  }
}
