// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "main/commands.h"

#include "base/json.h"
#include "base/settings.h"
#include "main/text_table.h"
#include "policy/objects.h"

#include <Poco/JSON/Array.h>
#include <algorithm>
#include <fstream>
#include <iostream>
#include <iterator>
#include <set>

namespace waycove {

namespace {

constexpr Millis ConnectTimeout(2000);
constexpr Millis CallTimeout(15000);
constexpr char DrainPrefix[] = "vm-";

/// HTTP client of the daemon given on the command line.
class Client {
public:
  Client(const Endpoint &Server, std::string Key)
      : Caller(Server, ConnectTimeout, this->UnusedMetrics,
               {Counter::PlatformBytesIn, Counter::PlatformBytesOut}),
        Key(std::move(Key)) {}

  absl::StatusOr<HttpReply> call(const std::string &Method,
                                 const std::string &Path,
                                 const std::string &Body = "") {
    HttpCall Call{Method, Path, Body, "", {}};
    Call.Headers.push_back({"Authorization", "Bearer " + this->Key});
    return this->Caller.call(Call, CallTimeout);
  }

  /// Returns the JSON body of the response to a GET request.
  absl::StatusOr<JsonObject> json(const std::string &Path) {
    absl::StatusOr<HttpReply> Reply = this->call("GET", Path);
    if (!Reply.ok())
      return Reply.status();
    if (Reply->Status != 200)
      return makeError(ErrorKind::Conflict, Reply->Body);
    return parseJson(Reply->Body);
  }

private:
  Metrics UnusedMetrics;
  HttpClient Caller;
  std::string Key;
};

Exit reportError(const absl::Status &Status) {
  std::cerr << "waycove: " << messageOf(Status) << "\n";
  return kindOf(Status) == ErrorKind::Conflict ? Exit::Refused
                                               : Exit::Unreachable;
}

Exit usage(const std::string &Text) {
  std::cerr << "waycove: expected: " << Text << "\n";
  return Exit::BadInput;
}

bool readFile(const std::string &Name, std::string &Out) {
  std::ifstream File(Name);
  if (!File)
    return false;
  Out.assign(std::istreambuf_iterator<char>(File), {});
  return true;
}

/// Reads the objects of all files given as arguments. Prints all validation
/// errors and returns BadInput if any file is invalid.
Exit readObjects(const CommandLine &Line, std::vector<Object> &Out) {
  if (Line.Args.size() < 2)
    return usage(Line.Args[0] + " FILE...");
  bool Valid = true;
  for (std::size_t I = 1; I < Line.Args.size(); ++I) {
    std::string Text;
    if (!readFile(Line.Args[I], Text)) {
      std::cerr << Line.Args[I] << ":1: file: expected a readable file\n";
      Valid = false;
      continue;
    }
    ValidationErrors Errors;
    for (Object &Row : parseObjects(Line.Args[I], Text, Errors))
      Out.push_back(std::move(Row));
    std::cerr << Errors.text();
    Valid &= Errors.empty();
  }
  return Valid ? Exit::Success : Exit::BadInput;
}

/// The published state of an object; empty if it does not exist.
struct Published {
  std::uint64_t Revision = 0;
  std::string Body;
};

absl::StatusOr<Published> fetch(Client &Daemon, const ObjectKey &Key) {
  absl::StatusOr<JsonObject> Body = Daemon.json(
      "/operator/v1/objects?kind=" + kindName(Key.Kind) + "&name=" + Key.Name);
  if (!Body.ok())
    return Body.status();
  if (!flagAt(*Body, "ready", false))
    return makeError(ErrorKind::NotReady, "the daemon is not ready");
  Poco::JSON::Array::Ptr Rows = (*Body)->getArray("objects");
  if (Rows.isNull() || Rows->size() == 0)
    return Published{};
  JsonObject Row = Rows->getObject(0);
  return Published{numberAt(Row, "revision"), textAt(Row, "body")};
}

/// Publishes a change and prints its outcome.
Exit publish(Client &Daemon, const ObjectKey &Key, std::uint64_t Base,
             const std::string &Body, bool Removed) {
  Poco::JSON::Object Change;
  Change.set("kind", kindName(Key.Kind));
  Change.set("name", Key.Name);
  Change.set("base", Base);
  Change.set("body", Body);
  Change.set("removed", Removed);
  absl::StatusOr<HttpReply> Reply =
      Daemon.call("POST", "/operator/v1/apply", dumpJson(Change));
  if (!Reply.ok())
    return reportError(Reply.status());
  absl::StatusOr<JsonObject> ResponseBody = parseJson(Reply->Body);
  if (Reply->Status == 200 && ResponseBody.ok()) {
    std::cout << "accepted: " << textAt(*ResponseBody, "reason") << "\n";
    return Exit::Success;
  }
  JsonObject Error =
      ResponseBody.ok() ? (*ResponseBody)->getObject("error") : nullptr;
  std::cerr << Key.text() << ": "
            << (Error.isNull()
                    ? Reply->Body
                    : textAt(Error, "kind") + ": " + textAt(Error, "message"))
            << "\n";
  return Reply->Status >= 500 ? Exit::Unreachable : Exit::Refused;
}

Exit applyOne(Client &Daemon, const CommandLine &Line, const Object &Row) {
  absl::StatusOr<Published> Current = fetch(Daemon, Row.Key);
  if (!Current.ok())
    return reportError(Current.status());
  if (Line.Base < 0 && Current->Body == Row.Body) {
    std::cout << "unchanged: " << Row.Key.text() << "\n";
    return Exit::Success;
  }
  std::uint64_t Base =
      Line.Base < 0 ? Current->Revision : static_cast<std::uint64_t>(Line.Base);
  return publish(Daemon, Row.Key, Base, Row.Body, false);
}

std::string yesNo(bool Value) { return Value ? "yes" : "no"; }

std::string cell(const JsonObject &Row, const std::string &Key) {
  Poco::Dynamic::Var Value = Row->get(Key);
  if (Value.isBoolean())
    return yesNo(Value.extract<bool>());
  if (Value.type() != typeid(Poco::JSON::Array::Ptr))
    return Value.isEmpty() ? "" : Value.toString();
  std::string Joined;
  for (const Poco::Dynamic::Var &Item :
       *Value.extract<Poco::JSON::Array::Ptr>())
    Joined += (Joined.empty() ? "" : " ") + Item.toString();
  return Joined;
}

TextTable tableOf(const JsonObject &Body, const std::string &List,
                  const std::vector<std::string> &Fields) {
  TextTable Table(Fields);
  if (Poco::JSON::Array::Ptr Rows = Body->getArray(List); !Rows.isNull())
    for (unsigned I = 0; I < Rows->size(); ++I) {
      std::vector<std::string> Cells;
      Cells.reserve(Fields.size());
      for (const std::string &Field : Fields)
        Cells.push_back(cell(Rows->getObject(I), Field));
      Table.add(Cells);
    }
  return Table;
}

/// Returns the daemon given on the command line and the peers that it knows.
std::vector<Endpoint> knownDaemons(const CommandLine &Line,
                                   const JsonObject &Status) {
  std::vector<Endpoint> Found{Line.Server};
  if (Poco::JSON::Array::Ptr Rows = Status->getArray("peers"); !Rows.isNull())
    for (unsigned I = 0; I < Rows->size(); ++I) {
      Endpoint Address;
      if (parseEndpoint(textAt(Rows->getObject(I), "http"), Address) &&
          Address.text() != Line.Server.text())
        Found.push_back(Address);
    }
  return Found;
}

struct TimelineEvent {
  std::uint64_t Clock = 0;
  JsonObject Fields;
};

void printTimeline(const std::vector<TimelineEvent> &Rows,
                   const std::string &Format) {
  if (Format == "text") {
    std::uint64_t First = Rows.empty() ? 0 : Rows.front().Clock >> 16;
    for (const TimelineEvent &Event : Rows)
      std::cout << "+" << ((Event.Clock >> 16) - First) << "ms\t"
                << textAt(Event.Fields, "node") << "\t"
                << textAt(Event.Fields, "name") << "\t"
                << textAt(Event.Fields, "subject") << "\t"
                << textAt(Event.Fields, "detail") << "\n";
    return;
  }
  Poco::JSON::Array Out;
  for (const TimelineEvent &Event : Rows) {
    if (Format == "json") {
      Out.add(Event.Fields);
      continue;
    }
    // Chrome trace format: instant events in microseconds, one row per node.
    Poco::JSON::Object Instant;
    Instant.set("ph", std::string("i"));
    Instant.set("s", std::string("p"));
    Instant.set("ts", (Event.Clock >> 16) * 1000);
    Instant.set("pid", textAt(Event.Fields, "node"));
    Instant.set("tid", 0);
    Instant.set("name", textAt(Event.Fields, "name"));
    Poco::JSON::Object Args;
    Args.set("subject", textAt(Event.Fields, "subject"));
    Args.set("detail", textAt(Event.Fields, "detail"));
    Instant.set("args", Args);
    Out.add(Instant);
  }
  Out.stringify(std::cout, 1);
  std::cout << "\n";
}

} // namespace

Exit runCheck(const CommandLine &Line) {
  // Only settings files have a top-level field "node".
  if (Line.Args.size() < 2)
    return usage("check FILE...");
  bool Valid = true;
  for (std::size_t I = 1; I < Line.Args.size(); ++I) {
    std::string Text;
    ValidationErrors Errors;
    if (!readFile(Line.Args[I], Text))
      Errors.Errors.push_back({Line.Args[I], 1, "file", "a readable file"});
    else if (Text.rfind("node:", 0) == 0 ||
             Text.find("\nnode:") != std::string::npos)
      parseSettings(Line.Args[I], Text, Errors);
    else if (parseObjects(Line.Args[I], Text, Errors).empty() && Errors.empty())
      Errors.Errors.push_back({Line.Args[I], 1, "file", "at least one object"});
    std::cerr << Errors.text();
    Valid &= Errors.empty();
  }
  return Valid ? Exit::Success : Exit::BadInput;
}

Exit runDigest(const CommandLine &Line) {
  if (Line.Args.size() != 2)
    return usage("digest KEY");
  std::cout << digestKey(Line.Args[1]) << "\n";
  return Exit::Success;
}

Exit runApply(const CommandLine &Line) {
  std::vector<Object> Rows;
  if (Exit Read = readObjects(Line, Rows); Read != Exit::Success)
    return Read;
  Client Daemon(Line.Server, Line.Key);
  Exit Worst = Exit::Success;
  for (const Object &Row : Rows)
    Worst = std::max(Worst, applyOne(Daemon, Line, Row));
  return Worst;
}

Exit runGet(const CommandLine &Line) {
  if (Line.Args.size() > 3)
    return usage("get [KIND [NAME]]");
  std::string Path = "/operator/v1/objects?kind=" +
                     (Line.Args.size() > 1 ? Line.Args[1] : "") +
                     "&name=" + (Line.Args.size() > 2 ? Line.Args[2] : "");
  Client Daemon(Line.Server, Line.Key);
  absl::StatusOr<JsonObject> Body = Daemon.json(Path);
  if (!Body.ok())
    return reportError(Body.status());
  Poco::JSON::Array::Ptr Rows = (*Body)->getArray("objects");
  if (Line.Args.size() == 3 && Rows->size() == 1 && !Line.Json) {
    std::cout << "# revision " << cell(Rows->getObject(0), "revision") << "\n"
              << textAt(Rows->getObject(0), "body") << "\n";
    return Exit::Success;
  }
  TextTable Table = tableOf(*Body, "objects", {"kind", "name", "revision"});
  std::cout << (Line.Json ? Table.json() : Table.text());
  return Line.Args.size() == 3 && Rows->size() == 0 ? Exit::Refused
                                                    : Exit::Success;
}

Exit runDiff(const CommandLine &Line) {
  std::vector<Object> Rows;
  if (Exit Read = readObjects(Line, Rows); Read != Exit::Success)
    return Read;
  Client Daemon(Line.Server, Line.Key);
  Exit Result = Exit::Success;
  for (const Object &Row : Rows) {
    absl::StatusOr<Published> Current = fetch(Daemon, Row.Key);
    if (!Current.ok())
      return reportError(Current.status());
    if (Current->Body == Row.Body)
      continue;
    Result = Exit::Refused;
    std::cout << "--- " << Row.Key.text() << " revision " << Current->Revision
              << "\n"
              << Current->Body << "\n+++ file\n"
              << Row.Body << "\n";
  }
  return Result;
}

Exit runDelete(const CommandLine &Line) {
  if (Line.Args.size() != 3 || !kindFromName(Line.Args[1]))
    return usage("delete KIND NAME");
  Client Daemon(Line.Server, Line.Key);
  ObjectKey Key{*kindFromName(Line.Args[1]), Line.Args[2]};
  absl::StatusOr<Published> Current = fetch(Daemon, Key);
  if (!Current.ok())
    return reportError(Current.status());
  return publish(Daemon, Key, Current->Revision, "", true);
}

Exit runDrain(const CommandLine &Line, bool Drain) {
  if (Line.Args.size() < 2)
    return usage(Line.Args[0] + " VM...");
  Client Daemon(Line.Server, Line.Key);
  Exit Worst = Exit::Success;
  for (std::size_t I = 1; I < Line.Args.size(); ++I) {
    const std::string &Vm = Line.Args[I];
    ObjectKey Key{ObjectKind::Drain, DrainPrefix + Vm};
    absl::StatusOr<Published> Current = fetch(Daemon, Key);
    if (!Current.ok())
      return reportError(Current.status());
    if ((Current->Revision > 0) == Drain) {
      std::cout << "unchanged: " << Key.text() << "\n";
      continue;
    }
    std::string Body =
        "kind: drain\nname: " + Key.Name + "\nspec:\n  vms: [" + Vm + "]";
    Worst =
        std::max(Worst, publish(Daemon, Key, Current->Revision, Body, !Drain));
  }
  return Worst;
}

Exit runStatus(const CommandLine &Line) {
  Client Daemon(Line.Server, Line.Key);
  absl::StatusOr<JsonObject> Body = Daemon.json("/operator/v1/status");
  if (!Body.ok())
    return reportError(Body.status());
  if (Line.Json) {
    (*Body)->stringify(std::cout, 2);
    std::cout << "\n";
    return Exit::Success;
  }
  TextTable Node(
      {"node", "data_centre", "ready", "log_up", "in_flight", "next"});
  Node.add({cell(*Body, "node"), cell(*Body, "data_centre"),
            cell(*Body, "ready"), cell(*Body, "log_up"),
            cell(*Body, "in_flight"), cell(*Body, "next")});
  std::cout << Node.text() << "\n"
            << tableOf(
                   *Body, "peers",
                   {"node", "data_centre", "http", "live", "serving", "folded"})
                   .text()
            << "\n"
            << tableOf(*Body, "groups",
                       {"deployment", "data_centre", "slot", "fence", "domain",
                        "serves", "vms"})
                   .text()
            << "\n"
            << tableOf(*Body, "vms",
                       {"vm", "domain", "group", "leaving", "drained"})
                   .text();
  return Exit::Success;
}

Exit runTimeline(const CommandLine &Line) {
  std::string Format = Line.Args.size() > 1 ? Line.Args[1]
                       : Line.Json          ? "json"
                                            : "text";
  if (Format != "text" && Format != "json" && Format != "chrome")
    return usage("timeline [text|json|chrome]");
  Client First(Line.Server, Line.Key);
  absl::StatusOr<JsonObject> Status = First.json("/operator/v1/status");
  if (!Status.ok())
    return reportError(Status.status());
  std::vector<TimelineEvent> Rows;
  for (const Endpoint &Address : knownDaemons(Line, *Status)) {
    Client Daemon(Address, Line.Key);
    absl::StatusOr<JsonObject> Body = Daemon.json("/operator/v1/events");
    if (!Body.ok()) {
      std::cerr << "waycove: " << Address.text()
                << " left out: " << messageOf(Body.status()) << "\n";
      continue;
    }
    Poco::JSON::Array::Ptr List = (*Body)->getArray("events");
    for (unsigned I = 0; !List.isNull() && I < List->size(); ++I)
      Rows.push_back(
          {numberAt(List->getObject(I), "clock"), List->getObject(I)});
  }
  std::stable_sort(Rows.begin(), Rows.end(),
                   [](const TimelineEvent &Left, const TimelineEvent &Right) {
                     return Left.Clock < Right.Clock;
                   });
  printTimeline(Rows, Format);
  return Exit::Success;
}

} // namespace waycove
