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

constexpr Millis ConnectWithin(2000);
constexpr Millis CallWithin(15000);
constexpr char DrainPrefix[] = "vm-";

/// A connection to the daemon that the command line names.
class Client {
public:
  Client(const Endpoint &Server, std::string Key)
      : Caller(Server, ConnectWithin, this->Unused,
               {Counter::PlatformBytesIn, Counter::PlatformBytesOut}),
        Key(std::move(Key)) {}

  absl::StatusOr<HttpReply> call(const std::string &Method,
                                 const std::string &Path,
                                 const std::string &Body = "") {
    HttpCall Call{Method, Path, Body, "", {}};
    Call.Headers.push_back({"Authorization", "Bearer " + this->Key});
    return this->Caller.call(Call, CallWithin);
  }

  /// The answer's JSON, with complaints on the error stream where there is
  /// none.
  absl::StatusOr<JsonObject> json(const std::string &Path) {
    absl::StatusOr<HttpReply> Reply = this->call("GET", Path);
    if (!Reply.ok())
      return Reply.status();
    if (Reply->Status != 200)
      return makeError(ErrorKind::Conflict, Reply->Body);
    return parseJson(Reply->Body);
  }

private:
  Metrics Unused;
  HttpClient Caller;
  std::string Key;
};

Exit complain(const absl::Status &Status) {
  std::cerr << "waycove: " << messageOf(Status) << "\n";
  return kindOf(Status) == ErrorKind::Conflict ? Exit::Refused
                                               : Exit::Unreachable;
}

Exit usage(const std::string &Text) {
  std::cerr << "waycove: expected: " << Text << "\n";
  return Exit::BadInput;
}

bool readFile(const std::string &Name, std::string &Into) {
  std::ifstream File(Name);
  if (!File)
    return false;
  Into.assign(std::istreambuf_iterator<char>(File), {});
  return true;
}

/// All objects of the files after the command; BadInput with every mistake
/// told where any file is wrong.
Exit readObjects(const CommandLine &Line, std::vector<Object> &Into) {
  if (Line.Words.size() < 2)
    return usage(Line.Words[0] + " FILE...");
  bool Good = true;
  for (std::size_t I = 1; I < Line.Words.size(); ++I) {
    std::string Text;
    if (!readFile(Line.Words[I], Text)) {
      std::cerr << Line.Words[I] << ":1: file: expected a readable file\n";
      Good = false;
      continue;
    }
    ValidationErrors Found;
    for (Object &Row : parseObjects(Line.Words[I], Text, Found))
      Into.push_back(std::move(Row));
    std::cerr << Found.text();
    Good &= Found.empty();
  }
  return Good ? Exit::Good : Exit::BadInput;
}

/// One object as a daemon has it.
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

/// Publishes one change and says what became of it.
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
    return complain(Reply.status());
  absl::StatusOr<JsonObject> Answer = parseJson(Reply->Body);
  if (Reply->Status == 200 && Answer.ok()) {
    std::cout << "accepted: " << textAt(*Answer, "reason") << "\n";
    return Exit::Good;
  }
  JsonObject Error = Answer.ok() ? (*Answer)->getObject("error") : nullptr;
  std::cerr << Key.text() << ": "
            << (Error.isNull()
                    ? Reply->Body
                    : textAt(Error, "kind") + ": " + textAt(Error, "message"))
            << "\n";
  return Reply->Status >= 500 ? Exit::Unreachable : Exit::Refused;
}

Exit applyOne(Client &Daemon, const CommandLine &Line, const Object &Row) {
  absl::StatusOr<Published> Present = fetch(Daemon, Row.Key);
  if (!Present.ok())
    return complain(Present.status());
  if (Line.Base < 0 && Present->Body == Row.Body) {
    std::cout << "unchanged: " << Row.Key.text() << "\n";
    return Exit::Good;
  }
  std::uint64_t Base =
      Line.Base < 0 ? Present->Revision : static_cast<std::uint64_t>(Line.Base);
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

/// The daemons that the named one knows to live, itself among them.
std::vector<Endpoint> knownDaemons(const CommandLine &Line,
                                   const JsonObject &Status) {
  std::vector<Endpoint> Found{Line.Server};
  if (Poco::JSON::Array::Ptr Rows = Status->getArray("peers"); !Rows.isNull())
    for (unsigned I = 0; I < Rows->size(); ++I) {
      Endpoint Where;
      if (parseEndpoint(textAt(Rows->getObject(I), "http"), Where) &&
          Where.text() != Line.Server.text())
        Found.push_back(Where);
    }
  return Found;
}

struct TimelineRow {
  std::uint64_t Clock = 0;
  JsonObject Row;
};

void printTimeline(const std::vector<TimelineRow> &Rows,
                   const std::string &Form) {
  if (Form == "text") {
    std::uint64_t First = Rows.empty() ? 0 : Rows.front().Clock >> 16;
    for (const TimelineRow &Entry : Rows)
      std::cout << "+" << ((Entry.Clock >> 16) - First) << "ms\t"
                << textAt(Entry.Row, "node") << "\t"
                << textAt(Entry.Row, "name") << "\t"
                << textAt(Entry.Row, "subject") << "\t"
                << textAt(Entry.Row, "detail") << "\n";
    return;
  }
  Poco::JSON::Array Out;
  for (const TimelineRow &Entry : Rows) {
    if (Form == "json") {
      Out.add(Entry.Row);
      continue;
    }
    // Trace events as browsers' trace viewers read them: instants, in
    // microseconds, one row a node.
    Poco::JSON::Object Instant;
    Instant.set("ph", std::string("i"));
    Instant.set("s", std::string("p"));
    Instant.set("ts", (Entry.Clock >> 16) * 1000);
    Instant.set("pid", textAt(Entry.Row, "node"));
    Instant.set("tid", 0);
    Instant.set("name", textAt(Entry.Row, "name"));
    Poco::JSON::Object Args;
    Args.set("subject", textAt(Entry.Row, "subject"));
    Args.set("detail", textAt(Entry.Row, "detail"));
    Instant.set("args", Args);
    Out.add(Instant);
  }
  Out.stringify(std::cout, 1);
  std::cout << "\n";
}

} // namespace

Exit runCheck(const CommandLine &Line) {
  // Settings files are told from objects by their field "node".
  if (Line.Words.size() < 2)
    return usage("check FILE...");
  bool Good = true;
  for (std::size_t I = 1; I < Line.Words.size(); ++I) {
    std::string Text;
    ValidationErrors Found;
    if (!readFile(Line.Words[I], Text))
      Found.Errors.push_back({Line.Words[I], 1, "file", "a readable file"});
    else if (Text.rfind("node:", 0) == 0 ||
             Text.find("\nnode:") != std::string::npos)
      parseSettings(Line.Words[I], Text, Found);
    else if (parseObjects(Line.Words[I], Text, Found).empty() && Found.empty())
      Found.Errors.push_back({Line.Words[I], 1, "file", "at least one object"});
    std::cerr << Found.text();
    Good &= Found.empty();
  }
  return Good ? Exit::Good : Exit::BadInput;
}

Exit runDigest(const CommandLine &Line) {
  if (Line.Words.size() != 2)
    return usage("digest KEY");
  std::cout << digestKey(Line.Words[1]) << "\n";
  return Exit::Good;
}

Exit runApply(const CommandLine &Line) {
  std::vector<Object> Rows;
  if (Exit Read = readObjects(Line, Rows); Read != Exit::Good)
    return Read;
  Client Daemon(Line.Server, Line.Key);
  Exit Worst = Exit::Good;
  for (const Object &Row : Rows)
    Worst = std::max(Worst, applyOne(Daemon, Line, Row));
  return Worst;
}

Exit runGet(const CommandLine &Line) {
  if (Line.Words.size() > 3)
    return usage("get [KIND [NAME]]");
  std::string Path = "/operator/v1/objects?kind=" +
                     (Line.Words.size() > 1 ? Line.Words[1] : "") +
                     "&name=" + (Line.Words.size() > 2 ? Line.Words[2] : "");
  Client Daemon(Line.Server, Line.Key);
  absl::StatusOr<JsonObject> Body = Daemon.json(Path);
  if (!Body.ok())
    return complain(Body.status());
  Poco::JSON::Array::Ptr Rows = (*Body)->getArray("objects");
  if (Line.Words.size() == 3 && Rows->size() == 1 && !Line.Json) {
    std::cout << "# revision " << cell(Rows->getObject(0), "revision") << "\n"
              << textAt(Rows->getObject(0), "body") << "\n";
    return Exit::Good;
  }
  TextTable Table = tableOf(*Body, "objects", {"kind", "name", "revision"});
  std::cout << (Line.Json ? Table.json() : Table.text());
  return Line.Words.size() == 3 && Rows->size() == 0 ? Exit::Refused
                                                     : Exit::Good;
}

Exit runDiff(const CommandLine &Line) {
  std::vector<Object> Rows;
  if (Exit Read = readObjects(Line, Rows); Read != Exit::Good)
    return Read;
  Client Daemon(Line.Server, Line.Key);
  Exit Result = Exit::Good;
  for (const Object &Row : Rows) {
    absl::StatusOr<Published> Present = fetch(Daemon, Row.Key);
    if (!Present.ok())
      return complain(Present.status());
    if (Present->Body == Row.Body)
      continue;
    Result = Exit::Refused;
    std::cout << "--- " << Row.Key.text() << " revision " << Present->Revision
              << "\n"
              << Present->Body << "\n+++ file\n"
              << Row.Body << "\n";
  }
  return Result;
}

Exit runDelete(const CommandLine &Line) {
  if (Line.Words.size() != 3 || !kindFromName(Line.Words[1]))
    return usage("delete KIND NAME");
  Client Daemon(Line.Server, Line.Key);
  ObjectKey Key{*kindFromName(Line.Words[1]), Line.Words[2]};
  absl::StatusOr<Published> Present = fetch(Daemon, Key);
  if (!Present.ok())
    return complain(Present.status());
  return publish(Daemon, Key, Present->Revision, "", true);
}

Exit runDrain(const CommandLine &Line, bool Away) {
  if (Line.Words.size() < 2)
    return usage(Line.Words[0] + " VM...");
  Client Daemon(Line.Server, Line.Key);
  Exit Worst = Exit::Good;
  for (std::size_t I = 1; I < Line.Words.size(); ++I) {
    const std::string &Vm = Line.Words[I];
    ObjectKey Key{ObjectKind::Drain, DrainPrefix + Vm};
    absl::StatusOr<Published> Present = fetch(Daemon, Key);
    if (!Present.ok())
      return complain(Present.status());
    if ((Present->Revision > 0) == Away) {
      std::cout << "unchanged: " << Key.text() << "\n";
      continue;
    }
    std::string Body =
        "kind: drain\nname: " + Key.Name + "\nspec:\n  vms: [" + Vm + "]";
    Worst =
        std::max(Worst, publish(Daemon, Key, Present->Revision, Body, !Away));
  }
  return Worst;
}

Exit runStatus(const CommandLine &Line) {
  Client Daemon(Line.Server, Line.Key);
  absl::StatusOr<JsonObject> Body = Daemon.json("/operator/v1/status");
  if (!Body.ok())
    return complain(Body.status());
  if (Line.Json) {
    (*Body)->stringify(std::cout, 2);
    std::cout << "\n";
    return Exit::Good;
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
  return Exit::Good;
}

Exit runTimeline(const CommandLine &Line) {
  std::string Form = Line.Words.size() > 1 ? Line.Words[1]
                     : Line.Json           ? "json"
                                           : "text";
  if (Form != "text" && Form != "json" && Form != "chrome")
    return usage("timeline [text|json|chrome]");
  Client First(Line.Server, Line.Key);
  absl::StatusOr<JsonObject> Status = First.json("/operator/v1/status");
  if (!Status.ok())
    return complain(Status.status());
  std::vector<TimelineRow> Rows;
  for (const Endpoint &Where : knownDaemons(Line, *Status)) {
    Client Daemon(Where, Line.Key);
    absl::StatusOr<JsonObject> Body = Daemon.json("/operator/v1/events");
    if (!Body.ok()) {
      std::cerr << "waycove: " << Where.text()
                << " left out: " << messageOf(Body.status()) << "\n";
      continue;
    }
    Poco::JSON::Array::Ptr List = (*Body)->getArray("events");
    for (unsigned I = 0; !List.isNull() && I < List->size(); ++I)
      Rows.push_back(
          {numberAt(List->getObject(I), "clock"), List->getObject(I)});
  }
  std::stable_sort(Rows.begin(), Rows.end(),
                   [](const TimelineRow &Left, const TimelineRow &Right) {
                     return Left.Clock < Right.Clock;
                   });
  printTimeline(Rows, Form);
  return Exit::Good;
}

} // namespace waycove
