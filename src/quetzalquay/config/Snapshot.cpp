#include "config/Snapshot.h"

#include "wire/Crypto.h"

#include <utility>

namespace quetzalquay {

namespace {

template<typename Items>
auto
FindByName(const Items& aItems, const std::string& aName)
  -> decltype(&*aItems.begin())
{
  for (const auto& it : aItems) {
    if (it.name() == aName) {
      return &it;
    }
  }
  return nullptr;
}

} // namespace

Snapshot::Snapshot(schema::Configuration aConfiguration)
  : mConfiguration(std::move(aConfiguration))
{
  for (const auto& it : mConfiguration.workspaces()) {
    for (const auto& hash : it.key_sha256()) {
      mWorkspacesByKeyHash.emplace(hash, &it);
    }
  }
  for (const auto& it : mConfiguration.targets()) {
    mTargetsByName.emplace(it.name(), &it);
  }
}

const schema::Workspace*
Snapshot::FindWorkspaceByKey(const std::string& aKey) const
{
  const auto it = mWorkspacesByKeyHash.find(Sha256Hex(aKey));
  return it == mWorkspacesByKeyHash.end() ? nullptr : it->second;
}

const schema::Workspace*
Snapshot::FindWorkspace(const std::string& aName) const
{
  return FindByName(mConfiguration.workspaces(), aName);
}

const schema::Model*
Snapshot::FindModel(const std::string& aName) const
{
  return FindByName(mConfiguration.models(), aName);
}

std::string
Snapshot::ServingVersion(const schema::Model& aModel) const
{
  for (const auto& it : mConfiguration.rollouts()) {
    if (it.model() == aModel.name()) {
      return it.version();
    }
  }
  return aModel.serving_version();
}

const schema::Adapter*
Snapshot::FindAdapter(const std::string& aModel, const std::string& aName) const
{
  for (const auto& it : mConfiguration.adapters()) {
    if (it.model() == aModel && it.name() == aName) {
      return &it;
    }
  }
  return nullptr;
}

const schema::Service*
Snapshot::FindModelPool(const std::string& aModel) const
{
  for (const auto& it : mConfiguration.services()) {
    if (it.kind() == schema::MODEL_POOL && it.model() == aModel) {
      return &it;
    }
  }
  return nullptr;
}

const schema::Service*
Snapshot::FindService(const std::string& aName) const
{
  return FindByName(mConfiguration.services(), aName);
}

std::optional<TargetAddress>
Snapshot::AddressOf(const std::string& aTarget) const
{
  const auto it = mTargetsByName.find(aTarget);
  if (it == mTargetsByName.end()) {
    return std::nullopt;
  }
  const schema::Target& target = *it->second;
  return TargetAddress{ target.name(), target.address(), target.port() };
}

std::vector<ServiceDeclaration>
Snapshot::ServiceDeclarations() const
{
  std::vector<ServiceDeclaration> services;
  for (const auto& it : mConfiguration.services()) {
    ServiceDeclaration service;
    service.mName = it.name();
    const schema::Model* model = FindModel(it.model());
    if (model != nullptr) {
      service.mServingVersion = ServingVersion(*model);
    }
    services.push_back(std::move(service));
  }
  return services;
}

std::vector<TargetDeclaration>
Snapshot::TargetDeclarations() const
{
  std::vector<TargetDeclaration> targets;
  for (const auto& it : mConfiguration.targets()) {
    TargetDeclaration target;
    target.mName = it.name();
    target.mService = it.service();
    target.mPlace = it.place();
    target.mRegion = RegionOf(it.place());
    target.mLeaving = it.leaving();
    targets.push_back(std::move(target));
  }
  return targets;
}

std::string
Snapshot::RegionOf(const std::string& aPlace) const
{
  const schema::Place* place = FindByName(mConfiguration.places(), aPlace);
  return place == nullptr ? std::string() : place->region();
}

} // namespace quetzalquay
