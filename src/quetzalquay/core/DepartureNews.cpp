#include "core/DepartureNews.h"

#include <algorithm>
#include <iterator>

namespace quetzalquay {

namespace {

// Messages in which a host tells of a departure. Each goes to several hosts, so
// that with all of them passing it on a lost one does not matter.
constexpr int kTellings = 2;

// Time for which a departure is remembered, so that it is passed on once.
constexpr Duration kLifetime = std::chrono::seconds(30);

// Departures from which on expired ones are looked for.
constexpr std::size_t kExpectedEntries = 500;

} // namespace

bool
DepartureNews::Add(const TargetDeparture& aDeparture, bool aTell, Time aNow)
{
  if (mEntries.size() >= kExpectedEntries) {
    Forget(aNow);
  }
  const auto known = mEntries.find(aDeparture.mTarget);
  const bool isKnown =
    known != mEntries.end() && aNow < known->second.mForgottenAt &&
    known->second.mDeparture.mIncarnation == aDeparture.mIncarnation;
  if (isKnown && (aDeparture.mSuccessor.empty() ||
                  !known->second.mDeparture.mSuccessor.empty())) {
    known->second.mTellingsLeft = std::max(0, known->second.mTellingsLeft - 1);
    return false;
  }
  if (known == mEntries.end() && mEntries.size() >= kMaxEntries) {
    return true;
  }
  mEntries[aDeparture.mTarget] = { aDeparture,
                                   aTell ? kTellings : 0,
                                   aNow + kLifetime };
  if (aTell && std::find(mNews.begin(), mNews.end(), aDeparture.mTarget) ==
                 mNews.end()) {
    mNews.push_back(aDeparture.mTarget);
  }
  return true;
}

std::vector<TargetDeparture>
DepartureNews::TakeNews(Time aNow)
{
  std::vector<TargetDeparture> told;
  std::vector<std::string> left;
  for (auto it = mNews.rbegin(); it != mNews.rend(); ++it) {
    const auto entry = mEntries.find(*it);
    if (entry == mEntries.end() || aNow >= entry->second.mForgottenAt ||
        entry->second.mTellingsLeft == 0) {
      continue;
    }
    if (told.size() < kMaxInMessage) {
      told.push_back(entry->second.mDeparture);
      --entry->second.mTellingsLeft;
    }
    if (entry->second.mTellingsLeft > 0) {
      left.push_back(*it);
    }
  }
  mNews.assign(left.rbegin(), left.rend());
  return told;
}

void
DepartureNews::Forget(Time aNow)
{
  for (auto it = mEntries.begin(); it != mEntries.end();) {
    it = aNow >= it->second.mForgottenAt ? mEntries.erase(it) : std::next(it);
  }
}

} // namespace quetzalquay
