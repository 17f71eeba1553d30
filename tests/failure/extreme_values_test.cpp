// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// Configurations, entries of the registry and requests whose fields have
// extreme values or other types: none of them ends the process.
#include "support/entry_fixture.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Parser.h>
#include <cstdlib>
#include <random>
#include <sstream>
#include <thread>

namespace waycove::test {

namespace {

using std::chrono::milliseconds;

/// Versions that are published, and the pause between two: the node applies
/// the newest within 0.1 s.
constexpr int Versions = 40;
constexpr milliseconds VersionInterval(150);
/// Values that are changed in each version at most.
constexpr int MaxChanges = 3;

/// JSON texts that stand for any value.
const std::vector<std::string> Extremes{
    "0",
    "-1",
    "1",
    "4294967295",
    "4294967296",
    "9223372036854775807",
    "18446744073709551615",
    "1e308",
    "-1e308",
    "1e-308",
    "0.5",
    "null",
    "true",
    "\"\"",
    "\"\\u0000\"",
    "\"x\"",
    "\"" + std::string(5000, 'y') + "\"",
    "[]",
    "{}",
    "[[[[[[]]]]]]",
    "[null,1,\"a\",{}]",
};

/// A JSON text whose values can be replaced by their number.
class Template {
public:
  explicit Template(const std::string &Text)
      : Root(Poco::JSON::Parser().parse(Text)) {}

  /// The text with the values of \p Changes, by number, replaced.
  std::string render(const std::map<std::size_t, std::string> &Changes) {
    this->Count = 0;
    std::ostringstream Out;
    this->write(this->Root, Changes, Out);
    return Out.str();
  }
  /// Number of values; known after render().
  std::size_t count() const { return this->Count; }

private:
  void write(const Poco::Dynamic::Var &Value,
             const std::map<std::size_t, std::string> &Changes,
             std::ostream &Out) {
    if (auto At = Changes.find(this->Count++); At != Changes.end()) {
      Out << At->second;
      return;
    }
    if (Value.type() == typeid(JsonObject)) {
      auto Object = Value.extract<JsonObject>();
      const char *Separator = "{";
      for (const std::string &Name : Object->getNames()) {
        Out << Separator << "\"" << Name << "\":";
        this->write(Object->get(Name), Changes, Out);
        Separator = ",";
      }
      Out << (Object->size() == 0 ? "{}" : "}");
    } else if (Value.type() == typeid(Poco::JSON::Array::Ptr)) {
      auto List = Value.extract<Poco::JSON::Array::Ptr>();
      const char *Separator = "[";
      for (std::size_t I = 0; I < List->size(); ++I) {
        Out << Separator;
        this->write(List->get(static_cast<unsigned>(I)), Changes, Out);
        Separator = ",";
      }
      Out << (List->size() == 0 ? "[]" : "]");
    } else {
      Poco::JSON::Stringifier::stringify(Value, Out);
    }
  }

  Poco::Dynamic::Var Root;
  std::size_t Count = 0;
};

/// All fields that a configuration may have.
std::string fullConfig(int Version) {
  std::string Text = entryConfig(Version, "key-1");
  Text.pop_back();
  return Text +
         R"(,"limits":{"max_header_bytes":16384,"max_body_bytes":1000000,)"
         R"("header_timeout_ms":5000,"idle_timeout_ms":5000}})";
}

/// All fields that an entry may have.
std::string fullEntry(std::uint16_t Port) {
  return R"({"service":"llm","address":"127.0.0.1:)" + std::to_string(Port) +
         R"(","zone":"a","version":"v1","slots":6,"state":"ready",)"
         R"("cold_left_ms":5,"born":5,"domain":"d","staged":["model"],)"
         R"("models":[{"name":"model"}],"group":{"name":"g","epoch":3,)"
         R"("rank":0,"state":"open"},"sequence":1})";
}

unsigned seed() {
  const char *Text = std::getenv("WAYCOVE_SEED");
  return Text ? static_cast<unsigned>(std::stoul(Text)) : 1;
}

int versions() {
  const char *Text = std::getenv("WAYCOVE_VERSIONS");
  return Text ? std::stoi(Text) : Versions;
}

} // namespace

struct ExtremeValuesFixture : EntryFixture {
  /// Replaces up to MaxChanges values of \p Text.
  std::string change(const std::string &Text) {
    Template Source(Text);
    Source.render({});
    std::map<std::size_t, std::string> Changes;
    std::size_t Count = 1 + this->Random() % MaxChanges;
    // The whole text, which is the first value, stays.
    while (Changes.size() < Count)
      Changes[1 + this->Random() % (Source.count() - 1)] =
          Extremes[this->Random() % Extremes.size()];
    return Source.render(Changes);
  }
  /// A configuration whose version is as given.
  std::string changedConfig(int Version) {
    const std::string Kept = "\"version\":" + std::to_string(Version) + "}";
    while (true)
      if (std::string Text = this->change(fullConfig(Version));
          Text.ends_with(Kept))
        return Text;
  }
  void put(const std::string &Topic, const std::string &Key,
           const std::string &Value) {
    this->Run.atPlatform(
        {"POST", "/store/put?topic=" + Topic + "&key=" + Key, Value, {}});
  }

  std::mt19937 Random{seed()};
};

// Guards against a message from outside that ends the process: by a signal, by
// an exception, or since it never answers again.
TEST_CASE_METHOD(ExtremeValuesFixture,
                 "extreme values: configurations and entries come with them: "
                 "the process goes on and serves the next sound ones",
                 "[failure]") {
  int Last = versions() + 2;
  for (int Version = 2; Version < Last; ++Version) {
    std::string Config = this->changedConfig(Version);
    std::string Entry = this->change(fullEntry(this->Run.vmPort("e-1")));
    this->put("keyed.op", "config", Config);
    this->put("keyed.servers", "x-" + std::to_string(Version % 4), Entry);
    std::this_thread::sleep_for(VersionInterval);
    this->call("/chat/x", "c" + std::to_string(Version));
    this->call("/safe/x", "s" + std::to_string(Version));
    INFO(Config);
    INFO(Entry);
    REQUIRE(this->Run.node("n1").wait(milliseconds(0)) == -1);
  }
  for (const char *Key : {"x-0", "x-1", "x-2", "x-3"})
    this->put("keyed.servers", Key, "");
  this->put("keyed.op", "config", entryConfig(Last, "key-1"));
  CHECK(
      eventually([&] { return this->call("/safe/x", "after").Status == 200; }));
}

// Guards against a node that ends, or follows the list of targets no more, for
// one odd entry among them.
TEST_CASE_METHOD(ExtremeValuesFixture,
                 "odd entries: nested deeply, numbers too large, ports out of "
                 "range: nodes go on, follow the list, and start with it",
                 "[failure]") {
  const std::string Sound = fullEntry(this->Run.vmPort("p-1"));
  auto With = [&](const std::string &Old, const std::string &New) {
    std::string Entry = Sound;
    return Entry.replace(Entry.find(Old), Old.size(), New);
  };
  const std::string Port = ":" + std::to_string(this->Run.vmPort("p-1"));
  const std::string Depth(100'000, '[');
  std::vector<std::string> Entries{
      Depth,
      Depth + std::string(Depth.size(), ']'),
      With(R"(["model"])", Depth + std::string(Depth.size(), ']')),
      With(R"("slots":6)", R"("slots":)" + std::string(5000, '9')),
      With(R"("sequence":1)", R"("sequence":18446744073709551616)"),
      With(R"("epoch":3)", R"("epoch":1e999)"),
      With(R"("cold_left_ms":5)", R"("cold_left_ms":1e999)"),
      With(R"("born":5)", R"("born":9000000000000)")};
  for (const char *Wrong : {":0", ":65536", ":-1", ":99999999999", ":1e4", ":"})
    Entries.push_back(With(Port, Wrong));
  auto Serves = [&](const std::string &Id) {
    return this->call("/safe/x", Id).Status == 200;
  };
  for (std::size_t I = 0; I < Entries.size(); ++I)
    this->put("keyed.servers", "odd-" + std::to_string(I), Entries[I]);
  REQUIRE(eventually([&] {
    return this->Run.logOf("n1").find(
               "\"odd-" + std::to_string(Entries.size() - 1) + "\"") !=
           std::string::npos;
  }));
  CHECK(Serves("beside"));
  // The list is followed: one of two targets goes, the other takes all.
  this->put("keyed.servers", "p-1", "");
  REQUIRE(eventually([&] {
    return this->Run.logOf("n1").find("target_gone") != std::string::npos;
  }));
  std::uint64_t RunsBefore = this->runs("p-1");
  for (int I = 0; I < 6; ++I)
    CHECK(Serves("gone-" + std::to_string(I)));
  CHECK(this->runs("p-1") == RunsBefore);
  CHECK(this->Run.node("n1").wait(milliseconds(0)) == -1);
  this->Run.killNode("n1");
  this->Run.startNode("n1");
  REQUIRE(eventually([&] { return this->isReady(); }));
  CHECK(eventually([&] { return Serves("again"); }));
}

} // namespace waycove::test
