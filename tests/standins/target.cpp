// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// Stand-in targets: any number of VMs in one process, each a model engine (with
// orders, reports, streams, resume and cancel) or a plain service that counts
// its calls by key. The VMs are rows of the platform's VM file, limited by
// --only.
//   POST /faults {"generate": "ok|die_after|cross|wrong_group|partial|gap|
//        repeat|stall|refuse|reset", "after": K, "state": "ok|stall|old",
//        "leaving": "yes|no", "service": "ok|reset|drop_before|slow|
//        slow_after|busy|crossed|chunks|cut_chunks"}
//   GET  /counts   service calls by key and in total
#include "base/json.h"
#include "standins/replica.h"

#include <Poco/JSON/Array.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/StreamCopier.h>
#include <csignal>
#include <gflags/gflags.h>
#include <iostream>
#include <map>
#include <mutex>
#include <set>
#include <thread>
#include <yaml-cpp/yaml.h>

DEFINE_string(vms, "", "YAML file: a list of VMs");
DEFINE_string(only, "", "comma-separated VM ids to serve; empty for all");
DEFINE_int32(token_ms, 5, "time between tokens");
DEFINE_int32(load_ms, 200, "time to load a model");
DEFINE_string(registry, "",
              "address of the store to register with; empty for none");
DEFINE_string(advertise, "", "address to register; empty for the VM's own");
DEFINE_uint32(slots, 0,
              "requests of the users' platform that run at once; 0: all");
DEFINE_uint32(queue, 0, "requests that are queued when all slots are in use");
DEFINE_string(staged, "model",
              "models of the users' platform whose weights are staged, "
              "separated by commas");
DEFINE_bool(checks_fence, true, "refuse orders with an older fence");

namespace {

using namespace waycove;
using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;
using SteadyClock = std::chrono::steady_clock;

struct Vm {
  std::string Id;
  /// Set for targets of the users' platform.
  std::unique_ptr<standin::Replica> Target;
  std::mutex Mutex;
  std::uint64_t Group = 0;
  std::uint64_t Members = 0;
  SteadyClock::time_point LoadedAt;
  std::uint64_t Running = 0;
  std::set<std::string> Cancelled;
  std::map<std::string, std::string> Faults;
  std::map<std::string, int> Calls;
  int AllCalls = 0;
  int Generates = 0;
  /// Slow calls started, completed or not.
  int Entered = 0;
  int Left = 0;
  int PartialTokens = 0;
  std::vector<std::string> MemberAddresses;
  std::uint64_t Present = 0;
  SteadyClock::time_point PresentAt;

  std::string fault(const std::string &Name) {
    std::lock_guard Lock(this->Mutex);
    return this->Faults[Name];
  }
};

class Handler : public Poco::Net::HTTPRequestHandler {
public:
  explicit Handler(Vm &Self) : Self(Self) {}

  void handleRequest(HTTPServerRequest &Request,
                     HTTPServerResponse &Response) override {
    std::string Path = Request.getURI();
    std::string Body;
    Poco::StreamCopier::copyToString(Request.stream(), Body);
    if (this->Self.Target &&
        this->Self.Target->handle(
            Request, Response, Body,
            {this->Self.fault("call"), this->Self.fault("limit"),
             this->Self.fault("rest"), this->Self.fault("leaving") == "yes",
             this->Self.fault("order"), this->Self.fault("report")}))
      return;
    if (this->Self.fault("leaving") == "yes")
      Response.set("X-Waycove-Leaving", "yes");
    if (Path == "/faults")
      this->setFaults(Response, Body);
    else if (Path == "/counts")
      this->counts(Response);
    else if (Path == "/v1/order")
      this->order(Response, Body);
    else if (Path == "/v1/state")
      this->state(Response);
    else if (Path == "/v1/cancel")
      this->cancel(Response, Body);
    else if (Path == "/v1/generate")
      this->generate(Request, Response, Body);
    else
      this->service(Request, Response, Body);
  }

private:
  static void reply(HTTPServerResponse &Response, const std::string &Body,
                    int Status = 200) {
    Response.setStatusAndReason(
        static_cast<Poco::Net::HTTPResponse::HTTPStatus>(Status));
    Response.setContentType("application/json");
    Response.sendBuffer(Body.data(), Body.size());
  }
  static void drop(HTTPServerRequest &Request, HTTPServerResponse &Response) {
    Response.setKeepAlive(false);
    dynamic_cast<Poco::Net::HTTPServerRequestImpl &>(Request).socket().close();
  }
  static void busy(HTTPServerResponse &Response) {
    Response.set("X-Waycove-Not-Run", "yes");
    reply(Response, "{}", 503);
  }

  void setFaults(HTTPServerResponse &Response, const std::string &Body) {
    auto Row = parseJson(Body);
    std::lock_guard Lock(this->Self.Mutex);
    for (const auto &[Key, Value] : **Row)
      this->Self.Faults[Key] = Value.toString();
    reply(Response, "{}");
  }

  void counts(HTTPServerResponse &Response) {
    std::lock_guard Lock(this->Self.Mutex);
    Poco::JSON::Object Keys;
    for (const auto &[Key, Count] : this->Self.Calls)
      Keys.set(Key, Count);
    Poco::JSON::Object Out;
    Out.set("keys", Keys);
    Out.set("calls", this->Self.AllCalls);
    Out.set("generates", this->Self.Generates);
    Out.set("entered", this->Self.Entered);
    Out.set("left", this->Self.Left);
    Out.set("running", this->Self.Running);
    Out.set("partial_tokens", this->Self.PartialTokens);
    Out.set("cancelled", this->Self.Cancelled.size());
    reply(Response, dumpJson(Out));
  }

  void order(HTTPServerResponse &Response, const std::string &Body) {
    auto Row = parseJson(Body);
    std::uint64_t Fence = numberAt(*Row, "group");
    std::lock_guard Lock(this->Self.Mutex);
    if (FLAGS_checks_fence && Fence < this->Self.Group)
      return reply(Response, "{\"error\":\"older fence\"}", 409);
    if (Fence != this->Self.Group)
      this->Self.LoadedAt =
          SteadyClock::now() + std::chrono::milliseconds(FLAGS_load_ms);
    this->Self.Group = Fence;
    this->Self.Members = (*Row)->getArray("members")->size();
    this->Self.MemberAddresses.clear();
    for (const auto &Address : *(*Row)->getArray("members"))
      this->Self.MemberAddresses.push_back(Address.toString());
    reply(Response, "{}");
  }

  void state(HTTPServerResponse &Response) {
    if (this->Self.fault("state") == "stall")
      std::this_thread::sleep_for(std::chrono::seconds(2));
    std::lock_guard Lock(this->Self.Mutex);
    bool Loaded =
        this->Self.Group > 0 && SteadyClock::now() >= this->Self.LoadedAt;
    bool Old = this->Self.Faults["state"] == "old";
    Poco::JSON::Object Out;
    Out.set("group", Old ? 1 : this->Self.Group);
    Out.set("state", std::string(Loaded ? "loaded" : "loading"));
    Out.set("leaving", this->Self.Faults["leaving"] == "yes");
    Out.set("running", this->Self.Running);
    Out.set("queue", this->Self.Running);
    reply(Response, dumpJson(Out));
  }

  void cancel(HTTPServerResponse &Response, const std::string &Body) {
    auto Row = parseJson(Body);
    std::lock_guard Lock(this->Self.Mutex);
    this->Self.Cancelled.insert(textAt(*Row, "request"));
    reply(Response, "{}");
  }

  /// Returns the number of reachable members, which a real engine detects in
  /// its collective operations. Cached for 10 ms.
  std::uint64_t present(std::uint64_t Members) {
    std::lock_guard Lock(this->Self.Mutex);
    if (SteadyClock::now() - this->Self.PresentAt <
        std::chrono::milliseconds(10))
      return std::min(this->Self.Present, Members);
    this->Self.PresentAt = SteadyClock::now();
    this->Self.Present = 0;
    for (const std::string &Address : this->Self.MemberAddresses)
      try {
        Poco::Net::StreamSocket Socket;
        Socket.connect(Poco::Net::SocketAddress(Address),
                       Poco::Timespan(0, 50'000));
        ++this->Self.Present;
      } catch (const Poco::Exception &) {
        continue;
      }
    return std::min(this->Self.Present, Members);
  }

  static std::string line(const std::string &Request, std::uint64_t Index,
                          std::uint64_t Group, std::uint64_t Members) {
    Poco::JSON::Object Out;
    Out.set("request", Request);
    Out.set("index", Index);
    Out.set("text", (Request == "someone-else" ? "stray" : "w") +
                        std::to_string(Index) + " ");
    Out.set("group", Group);
    Out.set("members", Members);
    return dumpJson(Out) + "\n";
  }

  void generate(HTTPServerRequest &Request, HTTPServerResponse &Response,
                const std::string &Body) {
    auto Row = parseJson(Body);
    std::string Id = textAt(*Row, "request");
    std::uint64_t Group = 0;
    std::uint64_t Members = 0;
    std::string Fault;
    std::uint64_t After = 0;
    {
      std::lock_guard Lock(this->Self.Mutex);
      Group = this->Self.Group;
      Members = this->Self.Members;
      Fault = this->Self.Faults["generate"];
      After = std::strtoull(this->Self.Faults["after"].c_str(), nullptr, 10);
      ++this->Self.Generates;
    }
    if (Fault == "refuse" ||
        (FLAGS_checks_fence && numberAt(*Row, "group") != Group))
      return busy(Response);
    if (Fault == "reset")
      return drop(Request, Response);
    const std::uint64_t Loaded = Group;
    if (Fault == "wrong_group")
      Group += 1;
    if (Fault == "partial")
      Members -= 1;
    {
      std::lock_guard Lock(this->Self.Mutex);
      ++this->Self.Running;
    }
    Response.setChunkedTransferEncoding(true);
    std::ostream &Out = Response.send();
    std::uint64_t From = numberAt(*Row, "resume_from");
    std::uint64_t Count = numberAt(*Row, "max_tokens");
    bool Whole = true;
    for (std::uint64_t I = From; I < Count && Out.good(); ++I) {
      if (I - From >= After && Fault == "die_after") {
        Whole = false;
        break;
      }
      if (I - From >= After && Fault == "stall")
        std::this_thread::sleep_for(std::chrono::seconds(4));
      if (Fault == "gap" && I - From >= After)
        ++I;
      if (Fault == "cross")
        Out << line("someone-else", I, Group, Members);
      if (Fault == "repeat" && I > From)
        Out << line(Id, I - 1, Group, Members);
      std::uint64_t Present = this->present(Members);
      Out << line(Id, I, Group, Present) << std::flush;
      if (Present < Members) {
        std::lock_guard Lock(this->Self.Mutex);
        ++this->Self.PartialTokens;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(FLAGS_token_ms));
      std::lock_guard Lock(this->Self.Mutex);
      // Loading for another group ends requests of the previous one.
      Whole = this->Self.Group == Loaded;
      if (!Whole || this->Self.Cancelled.contains(Id))
        break;
    }
    if (Whole && Out.good())
      Out << "{\"request\":\"" << Id << "\",\"done\":true,\"tokens\":" << Count
          << ",\"queue\":0}\n"
          << std::flush;
    {
      std::lock_guard Lock(this->Self.Mutex);
      --this->Self.Running;
    }
    if (!Whole)
      drop(Request, Response);
  }

  void increment(int &Count) {
    std::lock_guard Lock(this->Self.Mutex);
    ++Count;
  }

  void service(HTTPServerRequest &Request, HTTPServerResponse &Response,
               const std::string &Body) {
    std::string Fault = this->Self.fault("service");
    if (Fault == "busy")
      return busy(Response);
    if (Fault == "drop_before")
      return drop(Request, Response);
    if (Fault == "slow") {
      this->increment(this->Self.Entered);
      std::this_thread::sleep_for(std::chrono::milliseconds(700));
    }
    std::string Key = Request.get("Idempotency-Key", "none");
    int Count = 0;
    {
      std::lock_guard Lock(this->Self.Mutex);
      Count = ++this->Self.Calls[Key];
      ++this->Self.AllCalls;
    }
    if (Fault == "slow")
      this->increment(this->Self.Left);
    if (Fault == "slow_after")
      std::this_thread::sleep_for(std::chrono::milliseconds(700));
    if (Fault == "reset")
      return drop(Request, Response);
    if (Fault == "chunks" || Fault == "cut_chunks") {
      Response.setChunkedTransferEncoding(true);
      Response.send() << "half " << std::flush;
      if (Fault == "cut_chunks")
        drop(Request, Response);
      return;
    }
    Poco::JSON::Object Out;
    Out.set("vm", this->Self.Id);
    Out.set("path", Request.getURI());
    Out.set("body", Body);
    Out.set("workspace", Request.get("X-Waycove-Workspace", ""));
    Out.set("count", Count);
    Response.set("X-Request-Id", Fault == "crossed"
                                     ? "someone-else"
                                     : Request.get("X-Request-Id", ""));
    reply(Response, dumpJson(Out));
  }

  Vm &Self;
};

class Handlers : public Poco::Net::HTTPRequestHandlerFactory {
public:
  explicit Handlers(Vm &Self) : Self(Self) {}
  Poco::Net::HTTPRequestHandler *
  createRequestHandler(const HTTPServerRequest &) override {
    return new Handler(this->Self);
  }

private:
  Vm &Self;
};

} // namespace

int main(int Argc, char **Argv) {
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  std::signal(SIGPIPE, SIG_IGN);
  Poco::ThreadPool Pool(16, 4000, 60, 128 << 10);
  std::vector<std::unique_ptr<Vm>> Vms;
  std::vector<std::unique_ptr<Poco::Net::HTTPServer>> Servers;
  std::string Selected = "," + FLAGS_only + ",";
  for (const YAML::Node &Row : YAML::LoadFile(FLAGS_vms)) {
    std::string Id = Row["id"].as<std::string>();
    if (!FLAGS_only.empty() &&
        Selected.find("," + Id + ",") == std::string::npos)
      continue;
    Vms.push_back(std::make_unique<Vm>());
    Vms.back()->Id = Id;
    auto Params = Poco::AutoPtr<Poco::Net::HTTPServerParams>(
        new Poco::Net::HTTPServerParams);
    Params->setMaxThreads(2000);
    Params->setMaxQueued(2000);
    Poco::Net::ServerSocket Socket;
    Socket.bind(Poco::Net::SocketAddress(Row["host"].as<std::string>(),
                                         Row["port"].as<unsigned short>()),
                true, false);
    Socket.listen(512);
    Servers.push_back(std::make_unique<Poco::Net::HTTPServer>(
        new Handlers(*Vms.back()), Pool, Socket, Params));
    Servers.back()->start();
    if (!FLAGS_registry.empty()) {
      standin::ReplicaSetup Setup{Id,
                                  FLAGS_registry,
                                  FLAGS_advertise.empty()
                                      ? Row["host"].as<std::string>() + ":" +
                                            Row["port"].as<std::string>()
                                      : FLAGS_advertise,
                                  Row["data_centre"].as<std::string>(),
                                  Row["domain"].as<std::string>(),
                                  Row["labels"]["role"].as<std::string>(),
                                  FLAGS_token_ms,
                                  FLAGS_load_ms,
                                  FLAGS_slots,
                                  FLAGS_queue,
                                  FLAGS_staged};
      Vms.back()->Target = std::make_unique<standin::Replica>(Setup);
      Vms.back()->Target->publish();
    }
  }
  std::cout << "ready" << std::endl;
  pause();
}
