#ifndef QUETZALQUAY_CONFIG_SNAPSHOT_H_INCLUDED
#define QUETZALQUAY_CONFIG_SNAPSHOT_H_INCLUDED

#include "core/TargetTable.h"
#include "generated/settings.pb.h"
#include "ports/EnginePort.h"

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace quetzalquay {

// One revision of the declared resources with the indexes that the request
// path needs. Immutable.
class Snapshot
{
public:
  // aConfiguration has passed CheckConfiguration.
  explicit Snapshot(schema::Configuration aConfiguration);

  // All declared resources.
  const schema::Configuration& Declared() const { return mConfiguration; }

  unsigned Revision() const { return mConfiguration.revision(); }

  // Workspace that a bearer key belongs to, or null.
  const schema::Workspace* WorkspaceOfKey(const std::string& aKey) const;

  // Workspace with a name, or null.
  const schema::Workspace* WorkspaceNamed(const std::string& aName) const;

  // Model with a name, or null.
  const schema::Model* ModelNamed(const std::string& aName) const;

  // Version that new requests of a model run on: the desired one once the
  // controller has rolled it out, else the one before.
  std::string ServingVersion(const schema::Model& aModel) const;

  // Adapter of a model, or null.
  const schema::Adapter* AdapterNamed(const std::string& aModel,
                                      const std::string& aName) const;

  // Model pool that carries a model, or null.
  const schema::Service* ServiceOfModel(const std::string& aModel) const;

  // Service with a name, or null.
  const schema::Service* ServiceNamed(const std::string& aName) const;

  // Address of a target, or nothing.
  std::optional<TargetAddress> AddressOf(const std::string& aTarget) const;

  // Services and targets in the terms of the target table.
  std::vector<ServiceDeclaration> ServiceDeclarations() const;
  std::vector<TargetDeclaration> TargetDeclarations() const;

  // Region of a place, empty when it is not declared.
  std::string RegionOf(const std::string& aPlace) const;

private:
  schema::Configuration mConfiguration;
  std::unordered_map<std::string, const schema::Workspace*> mByKeyHash;
  std::unordered_map<std::string, const schema::Target*> mTargets;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_CONFIG_SNAPSHOT_H_INCLUDED
