#include "gateway/SuspectWriter.h"

#include "gateway/SuspectRows.h"

#include <set>
#include <string>

namespace quetzalquay {

namespace {

// Interval between two searches for expired rows.
constexpr Duration kExpiryInterval = std::chrono::minutes(1);

// Whether a trial's row is still needed: as long as the losses that led to it,
// and as its conviction.
bool
IsNeeded(const SuspectSet& aTrial, const SuspectRegistry& aSuspects, Time aNow)
{
  const RequestContent content(aTrial.mMembers.front(), aTrial.mMembers);
  return aSuspects.IsSuspected(content, aNow) ||
         aSuspects.IsRefused(content, aNow);
}

} // namespace

SuspectWriter::SuspectWriter(EventLoop& aLoop,
                             const GatewaySettings& aSettings,
                             Fleet& aFleet,
                             ReplyBuffers& aReplies)
  : mFleet(aFleet)
  , mRows(aLoop,
          aSettings.mStoreEndpoint,
          aReplies,
          { platform::StoreTable::Suspects, [this] { return TakeChanges(); } })
  , mExpiryTimer(aLoop, [this] { RemoveExpired(); })
{
  mFleet.Targets().Suspects().SetStoreCallback([this] { mRows.Notify(); });
  mFleet.AddEraCallback(
    [this] { mFleet.Targets().Suspects().StoreAgain(EventLoop::Now()); });
  mExpiryTimer.ScheduleAt(EventLoop::Now() + kExpiryInterval);
}

std::vector<platform::RowChange>
SuspectWriter::TakeChanges()
{
  const ClockReading clocks = ReadClocks();
  std::vector<platform::RowChange> rows;
  for (const auto& it : mFleet.Targets().Suspects().TakeStoreChanges()) {
    rows.push_back(FormatSuspectRow(it, clocks));
  }
  return rows;
}

void
SuspectWriter::RemoveExpired()
{
  const Time now = EventLoop::Now();
  mExpiryTimer.ScheduleAt(now + kExpiryInterval);
  if (!mFleet.Readers().IsReader(now)) {
    return;
  }
  const ClockReading clocks = ReadClocks();
  std::set<std::string> targets;
  for (const std::string& it : mFleet.Targets().Subset()) {
    targets.insert(TrialKeyOf(it));
  }
  for (const auto& it : mFleet.Rows(platform::StoreTable::Suspects)) {
    const auto trial = ParseTrialSuspects(it.second);
    if (trial || IsTargetTrialKey(it.first)) {
      const bool needed = trial
                            ? IsNeeded(*trial, mFleet.Targets().Suspects(), now)
                            : targets.count(it.first) != 0;
      if (!it.second.mRemoved && !needed) {
        mRows.Add({ it.first, std::nullopt });
      }
      continue;
    }
    const auto change = ParseSuspectRow(it.second, clocks);
    const bool expired = !change || now - change->mRun.mDeath.mAt >=
                                      SuspectRegistry::kRecordLifetime;
    if (!it.second.mRemoved && expired) {
      mRows.Add({ it.first, std::nullopt });
    }
  }
}

} // namespace quetzalquay
