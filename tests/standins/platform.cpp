// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// The stand-in platform: a log with streams, and a VM list. The users'
// platform's part is in store.h. Faults are set over HTTP:
//   POST /faults {"append": "ok|refuse|lose_ack|lose_ack_once|stall",
//                 "read": "ok|refuse|stale", "list": "ok|refuse", "stale_next":
//                 N}
//   POST /vms/state {"vm", "state"}   live, leaving or gone
//   POST /log/records/trim?first=N    removes records before N
//   POST /store/copy, /store/restore   as in store.h; includes the log and the
//                                      VM list
#include "base/json.h"
#include "standins/store.h"

#include <Poco/JSON/Array.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/StreamCopier.h>
#include <Poco/URI.h>
#include <condition_variable>
#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <map>
#include <mutex>
#include <thread>
#include <yaml-cpp/yaml.h>

DEFINE_string(listen, "127.0.0.1:7000", "address");
DEFINE_string(vms, "", "YAML file: a list of VMs");

namespace {

using namespace waycove;
using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

struct Stream {
  std::uint64_t First = 0;
  std::vector<std::string> Records;
  std::uint64_t next() const { return this->First + this->Records.size(); }
};

struct ListedVm {
  Poco::JSON::Object Row;
  std::string DataCentre;
  std::uint64_t Changed = 0;
};

/// The content that a restore brings back.
struct Content {
  std::map<std::string, Stream> Streams;
  std::map<std::string, ListedVm> Vms;
  std::uint64_t Version = 1;
};

struct Platform : Content {
  std::mutex Mutex;
  std::condition_variable Appended;
  Content Copy;
  std::uint64_t Era = 0;
  std::map<std::string, std::string> Faults;
  std::uint64_t Appends = 0;
  std::uint64_t Reads = 0;

  void copy() {
    std::lock_guard Lock(this->Mutex);
    this->Copy = *this;
  }
  void restore() {
    {
      std::lock_guard Lock(this->Mutex);
      static_cast<Content &>(*this) = this->Copy;
      ++this->Era;
    }
    this->Appended.notify_all();
  }
  std::string fault(const std::string &Name) {
    std::lock_guard Lock(this->Mutex);
    return this->Faults[Name];
  }
};

Platform State;
standin::Store KeyedStore;

void loadVms(const std::string &File) {
  for (const YAML::Node &Row : YAML::LoadFile(File)) {
    ListedVm Vm;
    Vm.DataCentre = Row["data_centre"].as<std::string>();
    Vm.Changed = State.Version;
    for (const char *Field : {"id", "data_centre", "domain", "host"})
      Vm.Row.set(Field, Row[Field].as<std::string>());
    Vm.Row.set("port", Row["port"].as<int>());
    Vm.Row.set("state", std::string("live"));
    Poco::JSON::Object Labels;
    for (const auto &Pair : Row["labels"])
      Labels.set(Pair.first.as<std::string>(), Pair.second.as<std::string>());
    Vm.Row.set("labels", Labels);
    State.Vms[Row["id"].as<std::string>()] = Vm;
  }
}

class Handler : public Poco::Net::HTTPRequestHandler {
public:
  void handleRequest(HTTPServerRequest &Request,
                     HTTPServerResponse &Response) override {
    Poco::URI Uri(Request.getURI());
    const std::string &Path = Uri.getPath();
    std::string Body;
    Poco::StreamCopier::copyToString(Request.stream(), Body);
    std::map<std::string, std::string> Query;
    for (const auto &[Key, Value] : Uri.getQueryParameters())
      Query[Key] = Value;
    if (Path == "/store/copy")
      State.copy();
    if (Path == "/store/restore")
      State.restore();
    if (Path.rfind("/api/", 0) == 0 && KeyedStore.down() == "silent")
      std::this_thread::sleep_for(std::chrono::seconds(3));
    if (auto Result = KeyedStore.handle(Path, Query, Body)) {
      Response.setStatusAndReason(
          static_cast<Poco::Net::HTTPResponse::HTTPStatus>(Result->Status));
      setEra(Response, Result->Era);
      reply(Response, Result->Body);
    } else if (Path == "/faults")
      this->setFaults(Response, Body);
    else if (Path == "/vms/state")
      this->setState(Response, Body);
    else if (Path == "/stats")
      this->stats(Response);
    else if (Path == "/vms")
      this->list(Request, Response, Query);
    else if (Path == "/log/records/trim")
      this->trim(Response, std::stoull(Query["first"]));
    else if (Request.getMethod() == "POST")
      this->append(Request, Response, Path.substr(5), Body);
    else
      this->read(Request, Response, Path.substr(5), Query);
  }

private:
  static void setEra(HTTPServerResponse &Response, std::uint64_t Era) {
    Response.set("Store-Era", std::to_string(Era));
  }
  static void reply(HTTPServerResponse &Response, const std::string &Body) {
    Response.setContentType("application/json");
    Response.sendBuffer(Body.data(), Body.size());
  }
  static void drop(HTTPServerRequest &Request, HTTPServerResponse &Response) {
    Response.setKeepAlive(false);
    dynamic_cast<Poco::Net::HTTPServerRequestImpl &>(Request).socket().close();
  }

  void append(HTTPServerRequest &Request, HTTPServerResponse &Response,
              const std::string &Name, const std::string &Body) {
    std::string Fault = State.fault("append");
    if (Fault == "stall")
      std::this_thread::sleep_for(std::chrono::seconds(3));
    if (Fault == "refuse" || Fault == "stall")
      return drop(Request, Response);
    std::uint64_t At = 0;
    {
      std::lock_guard Lock(State.Mutex);
      Stream &Row = State.Streams[Name];
      At = Row.next();
      setEra(Response, State.Era);
      Row.Records.push_back(Body);
      ++State.Appends;
      if (Fault == "lose_ack_once")
        State.Faults["append"] = "ok";
    }
    State.Appended.notify_all();
    if (Fault == "lose_ack" || Fault == "lose_ack_once")
      return drop(Request, Response);
    reply(Response, "{\"offset\":" + std::to_string(At) + "}");
  }

  void read(HTTPServerRequest &Request, HTTPServerResponse &Response,
            const std::string &Name,
            std::map<std::string, std::string> &Query) {
    std::string Fault = State.fault("read");
    if (Fault == "refuse")
      return drop(Request, Response);
    std::uint64_t From = std::stoull(Query["from"]);
    std::uint64_t Max = std::stoull(Query["max"]);
    std::chrono::milliseconds Wait(std::stoull(Query["wait_ms"]));
    std::unique_lock Lock(State.Mutex);
    ++State.Reads;
    std::uint64_t Era = State.Era;
    setEra(Response, Era);
    Stream &Row = State.Streams[Name];
    if (Fault == "stale") {
      std::uint64_t Stale = std::stoull(State.Faults["stale_next"]);
      return reply(Response, "{\"first\":0,\"next\":" + std::to_string(Stale) +
                                 ",\"records\":[]}");
    }
    State.Appended.wait_for(Lock, Wait, [&] {
      return State.Era != Era || State.Streams[Name].next() > From;
    });
    // A restore resets the connections of waiting readers.
    if (State.Era != Era)
      return drop(Request, Response);
    Poco::JSON::Array Rows;
    for (std::uint64_t At = std::max(From, Row.First);
         At < Row.next() && Rows.size() < Max; ++At) {
      Poco::JSON::Object Out;
      Out.set("offset", At);
      Out.set("data", toBase64(Row.Records[At - Row.First]));
      Rows.add(Out);
    }
    Poco::JSON::Object Out;
    Out.set("first", Row.First);
    Out.set("next", Row.next());
    Out.set("records", Rows);
    reply(Response, dumpJson(Out));
  }

  void list(HTTPServerRequest &Request, HTTPServerResponse &Response,
            std::map<std::string, std::string> &Query) {
    if (State.fault("list") == "refuse")
      return drop(Request, Response);
    std::uint64_t Since = std::stoull(Query["since"]);
    std::lock_guard Lock(State.Mutex);
    setEra(Response, State.Era);
    Poco::JSON::Array Rows;
    for (const auto &[Id, Vm] : State.Vms)
      if (Vm.DataCentre == Query["data_centre"] && Vm.Changed > Since)
        Rows.add(Vm.Row);
    Poco::JSON::Object Out;
    Out.set("version", State.Version);
    Out.set("whole", Since == 0);
    Out.set("vms", Rows);
    reply(Response, dumpJson(Out));
  }

  void setState(HTTPServerResponse &Response, const std::string &Body) {
    auto Row = parseJson(Body);
    std::lock_guard Lock(State.Mutex);
    ListedVm &Vm = State.Vms.at(textAt(*Row, "vm"));
    Vm.Row.set("state", textAt(*Row, "state"));
    Vm.Changed = ++State.Version;
    reply(Response, "{}");
  }

  void setFaults(HTTPServerResponse &Response, const std::string &Body) {
    auto Row = parseJson(Body);
    std::lock_guard Lock(State.Mutex);
    for (const auto &[Key, Value] : **Row)
      State.Faults[Key] = Value.toString();
    reply(Response, "{}");
  }

  void trim(HTTPServerResponse &Response, std::uint64_t First) {
    std::lock_guard Lock(State.Mutex);
    Stream &Row = State.Streams["records"];
    while (Row.First < First && !Row.Records.empty()) {
      Row.Records.erase(Row.Records.begin());
      ++Row.First;
    }
    reply(Response, "{}");
  }

  void stats(HTTPServerResponse &Response) {
    std::lock_guard Lock(State.Mutex);
    Poco::JSON::Object Out;
    Out.set("appends", State.Appends);
    Out.set("reads", State.Reads);
    Out.set("next", State.Streams["records"].next());
    Out.set("checkpoints", State.Streams["checkpoints"].next());
    reply(Response, dumpJson(Out));
  }
};

class Handlers : public Poco::Net::HTTPRequestHandlerFactory {
public:
  Poco::Net::HTTPRequestHandler *
  createRequestHandler(const HTTPServerRequest &) override {
    return new Handler;
  }
};

} // namespace

int main(int Argc, char **Argv) {
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  if (!FLAGS_vms.empty())
    loadVms(FLAGS_vms);
  Poco::ThreadPool Pool(4, 1000);
  auto Params = Poco::AutoPtr<Poco::Net::HTTPServerParams>(
      new Poco::Net::HTTPServerParams);
  Params->setMaxThreads(1000);
  Params->setMaxQueued(1000);
  Poco::Net::ServerSocket Socket;
  Socket.bind(Poco::Net::SocketAddress(FLAGS_listen), true, false);
  Socket.listen(512);
  Poco::Net::HTTPServer Server(new Handlers, Pool, Socket, Params);
  Server.start();
  std::cout << "ready" << std::endl;
  pause();
}
