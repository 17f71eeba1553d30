// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "base/yaml.h"
#include "policy/labels.h"

#include <memory>
#include <optional>
#include <variant>

namespace waycove {

/// How many replicas a deployment keeps in one data centre.
struct ReplicaCount {
  DataCentreId DataCentre;
  std::uint64_t Replicas = 0;
};

/// A model that is served by groups of VMs.
struct Deployment {
  std::string Model;
  std::string Version;
  std::uint64_t VmsPerReplica = 4;
  std::uint64_t SlotsPerReplica = 8;
  /// Tokens of context that one replica's cache holds; zero for not said.
  std::uint64_t KvTokensPerReplica = 0;
  std::vector<ReplicaCount> Replicas;
  Selector Match;
  Selector Workspaces;
  std::vector<std::string> Selectors;

  std::uint64_t replicasIn(const DataCentreId &DataCentre) const;
};

/// A plain HTTP endpoint that single VMs serve.
struct Service {
  Selector Match;
  Selector Workspaces;
  std::vector<std::string> Selectors;
  std::vector<std::string> RepeatableMethods;
};

/// A customer: who it is, its share, and where its requests may land.
struct Workspace {
  std::string KeyDigest;
  std::uint64_t Weight = 1;
  Labels Own;
  Selector Allow;
  std::vector<std::string> Selectors;
};

/// A selector with a name, for others to refer to.
struct NamedSelector {
  Selector Match;
};

/// VMs that get no new work.
struct Drain {
  std::vector<VmId> Vms;
  std::optional<Selector> Match;
};

/// Labels that all VMs of a data centre inherit.
struct DataCentre {
  Labels Own;
};

enum class ObjectKind {
  Deployment,
  Service,
  Workspace,
  Selector,
  Drain,
  DataCentre
};

std::string kindName(ObjectKind Kind);
std::optional<ObjectKind> kindFromName(const std::string &Name);

struct ObjectKey {
  ObjectKind Kind{};
  std::string Name;
  // The comparison that the compiler makes is no text of ours. NOLINTNEXTLINE
  auto operator<=>(const ObjectKey &) const = default;
  std::string text() const;
};

/// One published object. Revision is the offset of the record that brought
/// it, plus one, so that zero means "not there".
struct Object {
  ObjectKey Key;
  std::uint64_t Revision = 0;
  /// When its record was written, by the writer's clock.
  WallMs Written;
  std::string Body;
  std::variant<Deployment, Service, Workspace, NamedSelector, Drain, DataCentre>
      Spec;

  template <typename T> const T *as() const {
    return std::get_if<T>(&this->Spec);
  }
};

using ObjectRef = std::shared_ptr<const Object>;

/// Validates one YAML document; all mistakes go to \p Found, and the result
/// is to be used only where that stayed empty.
Object parseObject(const YAML::Node &Document, ValidationErrors &Found);
/// Validates a whole file of documents.
std::vector<Object> parseObjects(const std::string &File,
                                 const std::string &Text,
                                 ValidationErrors &Found);
/// What `key_digest` holds for a workspace whose callers send \p Key.
std::string digestKey(const std::string &Key);

} // namespace waycove
