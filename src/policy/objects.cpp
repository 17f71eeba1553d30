// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "policy/objects.h"

#include <Poco/DigestEngine.h>
#include <Poco/SHA1Engine.h>
#include <algorithm>
#include <array>

namespace waycove {

namespace {

constexpr std::uint64_t MaxReplicas = 100000;
constexpr std::uint64_t MaxVmsPerReplica = 64;
constexpr std::uint64_t MaxKvTokens = 1'000'000'000'000;
constexpr std::size_t DigestChars = 40;

struct KindName {
  ObjectKind Kind;
  const char *Name;
};

constexpr std::array<KindName, 6> Kinds{{
    {ObjectKind::Deployment, "deployment"},
    {ObjectKind::Service, "service"},
    {ObjectKind::Workspace, "workspace"},
    {ObjectKind::Selector, "selector"},
    {ObjectKind::Drain, "drain"},
    {ObjectKind::DataCentre, "data_centre"},
}};

void readRequirements(YamlMap &Spec, const std::string &Field, bool Negated,
                      Selector &Into, ValidationErrors &Found) {
  YAML::Node Node = Spec.child(Field, false);
  if (!Node.IsDefined())
    return;
  if (!Node.IsMap()) {
    Found.add(Node, Spec.pathOf(Field), "a mapping of label to list of values");
    return;
  }
  YamlMap Map(Node, Spec.pathOf(Field), Found);
  for (const auto &Pair : Node) {
    std::vector<std::string> Values = Map.list(Pair.first.Scalar());
    if (Values.empty())
      Found.add(Pair.second, Map.pathOf(Pair.first.Scalar()),
                "at least one value");
    Into.require({Pair.first.Scalar(), std::move(Values), Negated});
  }
}

Labels readLabels(YamlMap &Spec, const std::string &Field,
                  ValidationErrors &Found) {
  Labels Result;
  YAML::Node Node = Spec.child(Field, false);
  if (!Node.IsDefined())
    return Result;
  YamlMap Map(Node, Spec.pathOf(Field), Found);
  if (Node.IsMap())
    for (const auto &Pair : Node)
      Result.set(Pair.first.Scalar(), Map.text(Pair.first.Scalar(), true));
  return Result;
}

/// Reads the workspaces that may use a deployment or service. The field is
/// required, since its absence would mean "anyone".
Selector readWorkspaces(YamlMap &Spec, ValidationErrors &Found) {
  Selector Result;
  Spec.child("workspaces", true);
  readRequirements(Spec, "workspaces", false, Result, Found);
  return Result;
}

Deployment readDeployment(YamlMap &Spec, ValidationErrors &Found) {
  Deployment Result;
  Result.Model = Spec.text("model", true);
  Result.Version = Spec.text("version", true);
  Result.VmsPerReplica =
      Spec.number("vms_per_replica", false, 4, 1, MaxVmsPerReplica);
  Result.SlotsPerReplica = Spec.number("slots_per_replica", false, 8, 1, 4096);
  Result.KvTokensPerReplica =
      Spec.number("kv_tokens_per_replica", false, 0, 0, MaxKvTokens);
  YAML::Node Replicas = Spec.child("replicas", true);
  if (Replicas.IsDefined()) {
    YamlMap Map(Replicas, Spec.pathOf("replicas"), Found);
    if (Replicas.IsMap())
      for (const auto &Pair : Replicas)
        Result.Replicas.push_back(
            {DataCentreId(Pair.first.Scalar()),
             Map.number(Pair.first.Scalar(), true, 0, 0, MaxReplicas)});
  }
  readRequirements(Spec, "match", false, Result.Match, Found);
  readRequirements(Spec, "match_not", true, Result.Match, Found);
  Result.Workspaces = readWorkspaces(Spec, Found);
  Result.Selectors = Spec.list("selectors");
  return Result;
}

Service readService(YamlMap &Spec, ValidationErrors &Found) {
  Service Result;
  readRequirements(Spec, "match", false, Result.Match, Found);
  readRequirements(Spec, "match_not", true, Result.Match, Found);
  if (Result.Match.rows().empty())
    Found.Errors.push_back({Found.File, 1, Spec.pathOf("match"),
                            "at least one label that its VMs carry"});
  Result.Workspaces = readWorkspaces(Spec, Found);
  Result.Selectors = Spec.list("selectors");
  Result.RepeatableMethods = Spec.list("repeatable_methods");
  return Result;
}

Workspace readWorkspace(YamlMap &Spec, ValidationErrors &Found) {
  Workspace Result;
  YAML::Node Digest = Spec.child("key_digest", false);
  Result.KeyDigest = Spec.text("key_digest", true);
  bool Hex = Result.KeyDigest.size() == DigestChars &&
             Result.KeyDigest.find_first_not_of("0123456789abcdef") ==
                 std::string::npos;
  if (Digest.IsDefined() && !Hex)
    Found.add(Digest, Spec.pathOf("key_digest"),
              "40 hexadecimal digits, as `waycove digest KEY` prints");
  Result.Weight = Spec.number("weight", false, 1, 1, 1000);
  Result.Own = readLabels(Spec, "labels", Found);
  readRequirements(Spec, "allow", false, Result.Allow, Found);
  readRequirements(Spec, "allow_not", true, Result.Allow, Found);
  Result.Selectors = Spec.list("selectors");
  return Result;
}

Drain readDrain(YamlMap &Spec, ValidationErrors &Found) {
  Drain Result;
  for (const std::string &Vm : Spec.list("vms"))
    Result.Vms.emplace_back(Vm);
  Selector Match;
  readRequirements(Spec, "match", false, Match, Found);
  if (!Match.rows().empty())
    Result.Match = Match;
  if (Result.Vms.empty() && !Result.Match)
    Found.Errors.push_back(
        {Found.File, 1, Spec.pathOf("vms"), "VMs to drain, or match"});
  return Result;
}

} // namespace

std::uint64_t Deployment::replicasIn(const DataCentreId &DataCentre) const {
  for (const ReplicaCount &Count : this->Replicas)
    if (Count.DataCentre == DataCentre)
      return Count.Replicas;
  return 0;
}

std::string kindName(ObjectKind Kind) {
  return Kinds[static_cast<std::size_t>(Kind)].Name;
}

std::optional<ObjectKind> kindFromName(const std::string &Name) {
  for (const KindName &Entry : Kinds)
    if (Entry.Name == Name)
      return Entry.Kind;
  return std::nullopt;
}

std::string ObjectKey::text() const {
  return kindName(this->Kind) + "/" + this->Name;
}

Object parseObject(const YAML::Node &Document, ValidationErrors &Found) {
  Object Result;
  YamlMap Top(Document, "", Found);
  std::string Kind = Top.text("kind", true);
  std::optional<ObjectKind> Known = kindFromName(Kind);
  if (!Kind.empty() && !Known)
    Found.add(Document["kind"], "kind",
              "deployment, service, workspace, selector, drain or "
              "data_centre");
  Result.Key.Name = Top.text("name", true, "", 128);
  bool Plain = std::all_of(
      Result.Key.Name.begin(), Result.Key.Name.end(), [](unsigned char C) {
        return std::isalnum(C) || C == '-' || C == '_' || C == '.';
      });
  if (!Plain)
    Found.add(Document["name"], "name", "letters, digits, '-', '_' and '.'");
  YAML::Node SpecNode = Top.child("spec", true);
  Top.finish();
  if (!Known || !SpecNode.IsDefined())
    return Result;
  Result.Key.Kind = *Known;
  YamlMap Spec(SpecNode, "spec", Found);
  switch (*Known) {
  case ObjectKind::Deployment:
    Result.Spec = readDeployment(Spec, Found);
    break;
  case ObjectKind::Service:
    Result.Spec = readService(Spec, Found);
    break;
  case ObjectKind::Workspace:
    Result.Spec = readWorkspace(Spec, Found);
    break;
  case ObjectKind::Selector: {
    NamedSelector Value;
    readRequirements(Spec, "match", false, Value.Match, Found);
    readRequirements(Spec, "match_not", true, Value.Match, Found);
    Result.Spec = Value;
    break;
  }
  case ObjectKind::Drain:
    Result.Spec = readDrain(Spec, Found);
    break;
  case ObjectKind::DataCentre:
    Result.Spec = DataCentre{readLabels(Spec, "labels", Found)};
    break;
  }
  Spec.finish();
  return Result;
}

std::vector<Object> parseObjects(const std::string &File,
                                 const std::string &Text,
                                 ValidationErrors &Found) {
  Found.File = File;
  std::vector<Object> Result;
  try {
    for (const YAML::Node &Document : loadYaml(Text, Found)) {
      Object Parsed = parseObject(Document, Found);
      Parsed.Body = YAML::Dump(Document);
      Result.push_back(std::move(Parsed));
    }
  } catch (const YAML::Exception &Error) {
    Found.Errors.push_back({File, 1, "file", "YAML: " + Error.msg});
  }
  return Result;
}

std::string digestKey(const std::string &Key) {
  Poco::SHA1Engine Engine;
  Engine.update("waycove:" + Key);
  return Poco::DigestEngine::digestToHex(Engine.digest());
}

} // namespace waycove
