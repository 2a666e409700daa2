#include "control/ResourceStore.h"

#include "config/SettingsFile.h"
#include "generated/messages.pb.h"
#include "wire/Json.h"

#include <thread>
#include <utility>

namespace quetzalquay {

namespace {

constexpr char kOperationTable[] = "operations";
constexpr Duration kCallTimeout = std::chrono::milliseconds(1000);
constexpr Duration kRetryDelay = std::chrono::milliseconds(20);

std::string
HeadValue(unsigned aRevision)
{
  schema::ConfigurationHead head;
  head.set_revision(aRevision);
  return ToJson(head);
}

} // namespace

ResourceStore::ResourceStore(TableStorePort& aStore, Clock aClock)
  : ResourceStore(aStore, std::move(aClock), [](Duration aPause) {
    std::this_thread::sleep_for(aPause);
  })
{
}

ResourceStore::ResourceStore(TableStorePort& aStore,
                             Clock aClock,
                             SleepFunction aSleep)
  : mStore(aStore)
  , mClock(std::move(aClock))
  , mSleep(std::move(aSleep))
{
}

StoreOutcome
ResourceStore::Load(ResourceTable& aTable)
{
  std::vector<StoredRow> rows;
  unsigned revision = 0;
  const StoreOutcome outcome =
    mStore.ReadAll(kConfigurationTable, kCallTimeout, rows, revision);
  if (outcome == StoreOutcome::Done) {
    aTable = ResourceTable::Parse(rows);
  }
  return outcome;
}

StoreOutcome
ResourceStore::ReadRevision(unsigned& aRevision)
{
  StoredRow row;
  const StoreOutcome outcome =
    mStore.Read(kConfigurationTable, kHeadKey, kCallTimeout, row);
  if (outcome == StoreOutcome::Rejected) {
    aRevision = 0;
    return StoreOutcome::Done;
  }
  schema::ConfigurationHead head;
  if (outcome != StoreOutcome::Done ||
      ParseJson(row.mValue, UnknownFields::Ignore, head)) {
    return StoreOutcome::NotDone;
  }
  aRevision = head.revision();
  return StoreOutcome::Done;
}

ChangeResult
ResourceStore::Apply(const std::vector<ResourceChange>& aChanges,
                     const std::string& aOperationId,
                     Time aDeadline)
{
  ChangeResult result;
  while (mClock() < aDeadline) {
    if (TryApply(aChanges, aOperationId, result) == TryResult::Final) {
      return result;
    }
    mSleep(kRetryDelay);
  }
  return result;
}

ResourceStore::TryResult
ResourceStore::TryApply(const std::vector<ResourceChange>& aChanges,
                        const std::string& aOperationId,
                        ChangeResult& aResult)
{
  if (FindOperation(aOperationId, aResult)) {
    return TryResult::Final;
  }
  ResourceTable table;
  if (Load(table) != StoreOutcome::Done) {
    return TryResult::Retry;
  }
  StoreTransaction transaction;
  if (!PrepareTransaction(
        aChanges, aOperationId, table, transaction, aResult)) {
    // The conflict may be with an earlier commit of this same operation whose
    // response was lost.
    FindOperation(aOperationId, aResult);
    return TryResult::Final;
  }
  const CommitResult commit = mStore.Commit(transaction, kCallTimeout);
  switch (commit.mOutcome) {
    case StoreOutcome::Done:
      aResult.mStatus = ChangeStatus::Accepted;
      aResult.mRevision = table.Revision() + 1;
      aResult.mVersion = commit.mRevision;
      return TryResult::Final;
    case StoreOutcome::Unknown:
      aResult.mStatus = ChangeStatus::Unknown;
      break;
    case StoreOutcome::NotDone:
    case StoreOutcome::Rejected:
      break;
  }
  return TryResult::Retry;
}

bool
ResourceStore::FindOperation(const std::string& aOperationId,
                             ChangeResult& aResult)
{
  StoredRow row;
  const StoreOutcome outcome =
    mStore.Read(kOperationTable, aOperationId, kCallTimeout, row);
  schema::OperationRow operation;
  if (outcome != StoreOutcome::Done ||
      ParseJson(row.mValue, UnknownFields::Ignore, operation)) {
    return false;
  }
  aResult.mStatus = ChangeStatus::Accepted;
  aResult.mRevision = operation.revision();
  aResult.mVersion = row.mVersion;
  return true;
}

bool
ResourceStore::PrepareTransaction(const std::vector<ResourceChange>& aChanges,
                                  const std::string& aOperationId,
                                  ResourceTable& aTable,
                                  StoreTransaction& aTransaction,
                                  ChangeResult& aResult) const
{
  const unsigned revision = aTable.Revision() + 1;
  aTransaction.mConditions.push_back(
    { kConfigurationTable, kHeadKey, aTable.HeadVersion() });
  aTransaction.mConditions.push_back({ kOperationTable, aOperationId, 0 });
  aTransaction.mWrites.push_back(
    { kConfigurationTable, kHeadKey, HeadValue(revision), false });
  for (const ResourceChange& it : aChanges) {
    if (!CheckChange(it, aTable, aResult)) {
      return false;
    }
    // A deletion leaves an empty row, so that watchers see it as a change.
    aTransaction.mWrites.push_back({ kConfigurationTable,
                                     ResourceKey(it.mKind, it.mName),
                                     it.mValue,
                                     false });
    aTable.Put({ it.mKind, it.mName, it.mValue, 0 });
  }
  std::string reason;
  const auto configuration = aTable.Build(revision, reason);
  const auto problem =
    configuration ? CheckSettings(*configuration) : std::optional(reason);
  if (problem) {
    aResult.mStatus = ChangeStatus::Invalid;
    aResult.mReason = *problem;
    return false;
  }
  schema::OperationRow operation;
  operation.set_revision(revision);
  aTransaction.mWrites.push_back(
    { kOperationTable, aOperationId, ToJson(operation), false });
  return true;
}

bool
ResourceStore::CheckChange(const ResourceChange& aChange,
                           const ResourceTable& aTable,
                           ChangeResult& aResult) const
{
  const Resource* current = aTable.Find(aChange.mKind, aChange.mName);
  const bool exists = current != nullptr && !current->mValue.empty();
  const unsigned version = exists ? current->mVersion : 0;
  if (aChange.mValue.empty() && !exists) {
    aResult.mStatus = ChangeStatus::NotFound;
    return false;
  }
  if (aChange.mIfVersion && *aChange.mIfVersion != version) {
    aResult.mStatus = ChangeStatus::Conflict;
    aResult.mCurrent = exists ? *current : Resource();
    return false;
  }
  if (aChange.mValue.empty()) {
    return true;
  }
  const auto name =
    ResourceNameOf(aChange.mKind, aChange.mValue, aResult.mReason);
  if (!name || *name != aChange.mName) {
    aResult.mStatus = ChangeStatus::Invalid;
    if (name) {
      aResult.mReason = "name: \"" + *name + "\" does not match \"" +
                        aChange.mName + "\" in the path";
    }
    return false;
  }
  return true;
}

} // namespace quetzalquay
