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

// One revision of the declared resources, indexed for request processing.
// Immutable.
class Snapshot
{
public:
  // aConfiguration must have passed CheckSettings.
  explicit Snapshot(schema::Configuration aConfiguration);

  // All declared resources.
  const schema::Configuration& DeclaredResources() const
  {
    return mConfiguration;
  }

  unsigned Revision() const { return mConfiguration.revision(); }

  // Workspace that a bearer token belongs to, or null.
  const schema::Workspace* FindWorkspaceByKey(const std::string& aKey) const;

  // Workspace of the given name, or null.
  const schema::Workspace* FindWorkspace(const std::string& aName) const;

  // Model of the given name, or null.
  const schema::Model* FindModel(const std::string& aName) const;

  // Version that new requests for a model run on: the one that the controller
  // has rolled out, else the model's declared serving version.
  std::string ServingVersion(const schema::Model& aModel) const;

  // Adapter of the given name for a model, or null.
  const schema::Adapter* FindAdapter(const std::string& aModel,
                                     const std::string& aName) const;

  // Model pool that serves a model, or null.
  const schema::Service* FindModelPool(const std::string& aModel) const;

  // Service of the given name, or null.
  const schema::Service* FindService(const std::string& aName) const;

  // Address of the target of the given name, or nothing.
  std::optional<TargetAddress> AddressOf(const std::string& aTarget) const;

  // Services and targets in the form that the target table takes.
  std::vector<ServiceDeclaration> ServiceDeclarations() const;
  std::vector<TargetDeclaration> TargetDeclarations() const;

  // Region of a place; empty when the place is not declared.
  std::string RegionOf(const std::string& aPlace) const;

private:
  schema::Configuration mConfiguration;
  std::unordered_map<std::string, const schema::Workspace*>
    mWorkspacesByKeyHash;
  std::unordered_map<std::string, const schema::Target*> mTargetsByName;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_CONFIG_SNAPSHOT_H_INCLUDED
