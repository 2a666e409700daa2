#include "wire/PlatformHttp.h"

#include "generated/messages.pb.h"
#include "wire/Json.h"

#include <utility>

namespace quetzalquay {

namespace {

// Outcome of a call without a usable response: NotDone when the call certainly
// had no effect, else Unknown.
StoreOutcome
ToFailureOutcome(const HttpResult& aResult)
{
  const bool notSent = aResult.mOutcome == HttpOutcome::Refused ||
                       aResult.mOutcome == HttpOutcome::ConnectTimeout;
  if (notSent || aResult.mStatus == 503 || aResult.mStatus == 429) {
    return StoreOutcome::NotDone;
  }
  return StoreOutcome::Unknown;
}

StoreOutcome
ToStoreOutcome(const HttpResult& aResult)
{
  if (aResult.mOutcome == HttpOutcome::Answered) {
    if (aResult.mStatus == 200) {
      return StoreOutcome::Done;
    }
    if (aResult.mStatus == 404 || aResult.mStatus == 409) {
      return StoreOutcome::Rejected;
    }
  }
  return ToFailureOutcome(aResult);
}

schema::Transaction
ToMessage(const StoreTransaction& aTransaction)
{
  schema::Transaction message;
  for (const RowCondition& it : aTransaction.mConditions) {
    auto* condition = message.add_conditions();
    condition->set_table(it.mTable);
    condition->set_key(it.mKey);
    if (it.mVersion == 0) {
      condition->set_absent(true);
    } else {
      condition->set_version(it.mVersion);
    }
  }
  for (const RowWrite& it : aTransaction.mWrites) {
    auto* write = message.add_writes();
    write->set_table(it.mTable);
    write->set_key(it.mKey);
    write->set_value(it.mValue);
    write->set_delete_(it.mDelete);
  }
  return message;
}

StoredRow
FromMessage(const schema::TableRow& aMessage)
{
  return { aMessage.key(), aMessage.value(), aMessage.version() };
}

} // namespace

PlatformHttp::PlatformHttp(HttpAddress aAddress, std::string aProcessName)
  : mAddress(std::move(aAddress))
  , mProcessName(std::move(aProcessName))
{
}

CommitResult
PlatformHttp::Commit(const StoreTransaction& aTransaction, Duration aTimeout)
{
  HttpCallSpec spec;
  spec.mMethod = "POST";
  spec.mPath = "/v1/transactions";
  spec.mBody = ToCompactJson(ToMessage(aTransaction));
  const HttpResult response = Call(std::move(spec), aTimeout);
  CommitResult result;
  result.mOutcome = ToStoreOutcome(response);
  schema::TransactionResult message;
  if (ParseJson(response.mBody, UnknownFields::Ignore, message)) {
    if (result.mOutcome == StoreOutcome::Done) {
      result.mOutcome = StoreOutcome::Unknown;
    }
    return result;
  }
  result.mRevision = message.revision();
  for (const auto& it : message.failed()) {
    result.mFailedRows.push_back(FromMessage(it));
  }
  return result;
}

StoreOutcome
PlatformHttp::Read(const std::string& aTable,
                   const std::string& aKey,
                   Duration aTimeout,
                   StoredRow& aRow)
{
  HttpCallSpec spec;
  spec.mPath = "/v1/tables/" + aTable + "/" + aKey;
  const HttpResult response = Call(std::move(spec), aTimeout);
  const StoreOutcome outcome = ToStoreOutcome(response);
  if (outcome == StoreOutcome::Rejected) {
    return outcome;
  }
  schema::TableRow row;
  if (outcome != StoreOutcome::Done ||
      ParseJson(response.mBody, UnknownFields::Ignore, row)) {
    return StoreOutcome::NotDone;
  }
  aRow = FromMessage(row);
  return StoreOutcome::Done;
}

StoreOutcome
PlatformHttp::ReadAll(const std::string& aTable,
                      Duration aTimeout,
                      std::vector<StoredRow>& aRows,
                      unsigned& aRevision)
{
  HttpCallSpec spec;
  spec.mPath = "/v1/tables/" + aTable;
  const HttpResult response = Call(std::move(spec), aTimeout);
  schema::TableRows rows;
  if (ToStoreOutcome(response) != StoreOutcome::Done ||
      ParseJson(response.mBody, UnknownFields::Ignore, rows)) {
    return StoreOutcome::NotDone;
  }
  aRows.clear();
  for (const auto& it : rows.rows()) {
    aRows.push_back(FromMessage(it));
  }
  aRevision = rows.revision();
  return StoreOutcome::Done;
}

StoreOutcome
PlatformHttp::Put(const std::string& aName,
                  const std::string& aBytes,
                  Duration aTimeout)
{
  HttpCallSpec spec;
  spec.mMethod = "PUT";
  spec.mPath = "/v1/objects/" + aName;
  spec.mBody = aBytes;
  spec.mContentType = "application/octet-stream";
  return ToStoreOutcome(Call(std::move(spec), aTimeout));
}

StoreOutcome
PlatformHttp::Get(const std::string& aName,
                  Duration aTimeout,
                  std::string& aBytes)
{
  HttpCallSpec spec;
  spec.mPath = "/v1/objects/" + aName;
  HttpResult response = Call(std::move(spec), aTimeout);
  aBytes = std::move(response.mBody);
  return ToStoreOutcome(response);
}

StoreOutcome
PlatformHttp::Delete(const std::string& aName, Duration aTimeout)
{
  HttpCallSpec spec;
  spec.mMethod = "DELETE";
  spec.mPath = "/v1/objects/" + aName;
  return ToStoreOutcome(Call(std::move(spec), aTimeout));
}

std::optional<std::vector<HostState>>
PlatformHttp::ReadHosts(Duration aTimeout)
{
  HttpCallSpec spec;
  spec.mPath = "/v1/hosts";
  const HttpResult response = Call(std::move(spec), aTimeout);
  schema::HostList list;
  if (ToStoreOutcome(response) != StoreOutcome::Done ||
      ParseJson(response.mBody, UnknownFields::Ignore, list)) {
    return std::nullopt;
  }
  std::vector<HostState> hosts;
  for (const auto& it : list.hosts()) {
    hosts.push_back(
      { it.name(), it.address(), it.state() == "leaving", it.stop_at() });
  }
  return hosts;
}

HttpResult
PlatformHttp::Call(HttpCallSpec aSpec, Duration aTimeout)
{
  aSpec.mConnectTimeout = aTimeout;
  aSpec.mReadTimeout = aTimeout;
  aSpec.mHeaders["X-Quetzal-Process"] = mProcessName;
  HttpCall call(mAddress);
  return call.Run(aSpec);
}

} // namespace quetzalquay
