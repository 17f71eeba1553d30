// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// Users keep a connection each and send a request every ten seconds. With
// trouble two of the three machines lose power, and their users turn to the
// third. It is watched whether it takes new connections while it says that it
// is ready.

#include "drive.h"

using namespace review;

namespace {

constexpr unsigned Users = 2400;
constexpr unsigned UsersPerThread = 40;
/// Between two requests of a user: below four fifths of idle_timeout_ms.
constexpr double Interval = 10;
constexpr double LossAt = 13;
constexpr double Length = 45;
/// contact_ms
constexpr double Contact = 4;
constexpr unsigned Clients = 7;

/// A try of a user to open a connection.
struct Try {
  double At = 0;
  unsigned User = 0;
  bool Taken = false;
};

struct Seen {
  std::mutex Mutex;
  /// By machine.
  std::vector<std::vector<Try>> Tries{3};
  /// Answers to the platform's question, by machine.
  std::vector<std::vector<std::pair<double, bool>>> Ready{3};
};

/// The longest time up to \p End in which the machine said that it is ready and
/// took no new connection, while enough users tried.
double longestRefusal(Seen &All, std::size_t Machine, double End, Record &Out) {
  std::vector<Try> Tries = All.Tries[Machine];
  std::sort(Tries.begin(), Tries.end(),
            [](const Try &A, const Try &B) { return A.At < B.At; });
  double Longest = 0;
  std::size_t First = 0;
  for (std::size_t I = 0; I <= Tries.size(); ++I) {
    if (I < Tries.size() && !Tries[I].Taken)
      continue;
    // Tries First to I - 1 were not taken.
    if (I > First) {
      double From = Tries[First].At;
      double Until = Tries[I - 1].At;
      std::set<unsigned> Who;
      for (std::size_t J = First; J < I; ++J)
        Who.insert(Tries[J].User);
      bool WasReady = true;
      for (const auto &[At, Is] : All.Ready[Machine])
        if (At >= From && At <= Until && At <= End)
          WasReady &= Is;
      if (Who.size() >= Clients && WasReady) {
        if (Until - From > 1)
          Out.line("edge-%zu took no new connection from %.2f to %.2f s; %zu "
                   "users tried, and it was ready",
                   Machine, From, Until, Who.size());
        Longest = std::max(Longest, Until - From);
      }
    }
    First = I + 1;
  }
  return Longest;
}

} // namespace

int main(int, char **Args) {
  signal(SIGPIPE, SIG_IGN);
  Record Out(Args[1]);
  {
    Deployment Site;
    std::atomic<unsigned> Runs{0};
    std::vector<std::unique_ptr<Replica>> Replicas;
    for (int I = 0; I < 7; ++I) {
      std::string Id = "i-plain" + std::to_string(I);
      Replicas.emplace_back(std::make_unique<Replica>(
          *Site.Log, Id, std::string(1, static_cast<char>('a' + I % 3)), 6,
          [&, Id](int Fd, const Message &In) {
            ++Runs;
            pause(0.005);
            return sendAll(Fd, answerOf(In, Id, std::string(800, 'a')));
          }));
    }
    if (!Site.startAll()) {
      Out.line("the machines do not become ready");
      Site.finish(2);
    }
    const double Start = now();
    Seen All;
    std::atomic<bool> Ending{false};
    std::array<std::atomic<bool>, 3> In{true, true, true};
    // The platform asks each second; after two misses a machine is out.
    std::thread Platform([&] {
      std::array<unsigned, 3> Misses{};
      while (!Ending) {
        for (std::size_t I = 0; I < 3; ++I) {
          bool Is = Site.Machines[I]->isReady();
          Misses[I] = Is ? 0 : Misses[I] + 1;
          In[I] = Misses[I] < 2;
          std::lock_guard Lock(All.Mutex);
          All.Ready[I].push_back({now(), Is});
        }
        pause(1);
      }
    });
    std::array<std::atomic<unsigned>, 600> Statuses{};
    std::atomic<unsigned> Number{0};
    auto Serve = [&](unsigned FirstUser) {
      struct User {
        int Fd = -1;
        std::string Buffer;
        double Due = 0;
        unsigned Turn = 0;
      };
      std::vector<User> Own(UsersPerThread);
      for (unsigned I = 0; I < UsersPerThread; ++I)
        Own[I].Due = Start + Interval * (I + 1) / UsersPerThread;
      while (now() < Start + Length) {
        for (unsigned I = 0; I < UsersPerThread; ++I) {
          User &Each = Own[I];
          if (now() < Each.Due)
            continue;
          unsigned Id = FirstUser + I;
          std::string Name = "r" + std::to_string(++Number);
          std::string Bytes = request("GET", "/safe/" + Name, Name);
          Message Answer;
          bool Served = Each.Fd >= 0 && sendAll(Each.Fd, Bytes) &&
                        readMessage(Each.Fd, Each.Buffer, Answer, now() + 8);
          if (!Served) {
            if (Each.Fd >= 0)
              close(Each.Fd);
            Each.Buffer.clear();
            std::vector<std::size_t> Known;
            for (std::size_t J = 0; J < 3; ++J)
              if (In[J])
                Known.push_back(J);
            if (Known.empty()) {
              Each.Due = now() + 1;
              Each.Fd = -1;
              continue;
            }
            std::size_t At = Known[(Id * 2654435761U >> 8) % Known.size()];
            double Begun = now();
            Each.Fd = dial(Site.Machines[At]->Http);
            Served = Each.Fd >= 0 && sendAll(Each.Fd, Bytes) &&
                     readMessage(Each.Fd, Each.Buffer, Answer, now() + 8);
            {
              std::lock_guard Lock(All.Mutex);
              All.Tries[At].push_back({Begun, Id, Served});
            }
            if (!Served) {
              if (Each.Fd >= 0)
                close(Each.Fd);
              Each.Fd = -1;
              // Clients retry a few times, on a new connection.
              Each.Due = now() + (++Each.Turn % 3 ? 0.5 : 3);
              continue;
            }
          }
          ++Statuses[static_cast<std::size_t>(std::min(Answer.status(), 599))];
          Each.Due += Interval;
          if (Each.Due < now())
            Each.Due = now() + Interval;
        }
        pause(0.005);
      }
      for (User &Each : Own)
        if (Each.Fd >= 0)
          close(Each.Fd);
    };
    std::vector<std::thread> Threads;
    for (unsigned I = 0; I < Users; I += UsersPerThread)
      Threads.emplace_back(Serve, I);
    pause(Start + LossAt - now());
    if (hasTrouble()) {
      Out.line("edge-1 and edge-2 lose power");
      Site.Machines[1]->end();
      Site.Machines[2]->end();
    }
    for (std::thread &Each : Threads)
      Each.join();
    Ending = true;
    Platform.join();
    double Longest = 0;
    for (std::size_t I = 0; I < 3; ++I) {
      std::size_t Taken = 0;
      for (const Try &Each : All.Tries[I])
        Taken += Each.Taken ? 1 : 0;
      Out.line("edge-%zu: %zu tries to open a connection, %zu taken", I,
               All.Tries[I].size(), Taken);
      // A machine without power is not in touch.
      if (I == 0 || !hasTrouble())
        Longest = std::max(Longest,
                           longestRefusal(All, I, Start + Length, Out));
    }
    for (std::size_t I = 0; I < Statuses.size(); ++I)
      if (Statuses[I] > 0)
        Out.line("answers with status %zu: %u", I, Statuses[I].load());
    Out.line("run: %u; longest time without a new connection: %.2f s, allowed "
             "%.0f",
             Runs.load(), Longest, Contact);
    int Result = Longest > Contact ? 1 : 0;
    Out.line(Result ? "BROKEN" : "held");
    Site.finish(Result);
  }
}
