#include "gateway/TrialRows.h"

#include <iterator>

namespace quetzalquay {

namespace {

// Time after which the host of an unchanged trial counts as vanished. Trials
// end sooner by themselves.
constexpr Duration kTrialLease = std::chrono::seconds(12);

} // namespace

bool
TrialRows::Row::IsTaken() const
{
  return mRecord.mHeld && EventLoop::Now() - mSince < kTrialLease;
}

void
TrialRows::ForgetEarlierEras()
{
  if (mEra != mFleet.Era()) {
    mEra = mFleet.Era();
    mRows.clear();
  }
}

TrialRows::Row&
TrialRows::Of(const std::string& aKey)
{
  ForgetEarlierEras();
  const auto& rows = mFleet.Rows(platform::StoreTable::Suspects);
  const auto row = rows.find(aKey);
  if (row != rows.end() && !row->second.mRemoved &&
      row->second.mVersion > mRows[aKey].mVersion) {
    OnRead(row->second);
  }
  return mRows[aKey];
}

void
TrialRows::OnRead(const platform::StoreRow& aRow)
{
  ForgetEarlierEras();
  Row& row = mRows[aRow.mKey];
  if (aRow.mVersion != row.mVersion) {
    // A malformed record counts as a new one.
    row.mRecord = ParseTrialRecord(aRow.mValue).value_or(TrialRecord());
    row.mVersion = aRow.mVersion;
    row.mSince = EventLoop::Now();
  }
}

void
TrialRows::OnWritten(const std::string& aKey,
                     const TrialRecord& aRecord,
                     std::int64_t aVersion)
{
  ForgetEarlierEras();
  mRows[aKey] = { aRecord, aVersion, EventLoop::Now() };
}

void
TrialRows::Expire(Time aNow)
{
  for (auto it = mRows.begin(); it != mRows.end();) {
    const bool expired =
      aNow - it->second.mSince >= SuspectRegistry::kRecordLifetime;
    it = expired ? mRows.erase(it) : std::next(it);
  }
}

} // namespace quetzalquay
