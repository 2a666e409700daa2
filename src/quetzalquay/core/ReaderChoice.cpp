#include "core/ReaderChoice.h"

#include "core/Hash.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace quetzalquay {

namespace {

using std::chrono::milliseconds;

// One reader for each kHostsPerReader hosts, and at least kMinReaders.
constexpr std::size_t kHostsPerReader = 24;
constexpr std::size_t kMinReaders = 2;

// Time for which a failed reader is skipped, doubled with each consecutive
// failure up to the maximum.
constexpr Duration kInitialBackoff = milliseconds(2000);
constexpr Duration kMaxBackoff = milliseconds(32000);

} // namespace

ReaderChoice::ReaderChoice(ReaderCandidate aOwnHost)
  : mOwnHost(std::move(aOwnHost))
  , mHostsByRank({ mOwnHost.mName })
{
}

void
ReaderChoice::SetHosts(std::vector<ReaderCandidate> aHosts)
{
  const auto own =
    std::find_if(aHosts.begin(), aHosts.end(), [this](const auto& aHost) {
      return aHost.mName == mOwnHost.mName;
    });
  if (own == aHosts.end()) {
    aHosts.push_back(mOwnHost);
  }
  const auto rank = [](const ReaderCandidate& aHost) {
    return std::make_tuple(
      -aHost.mLinkMbps, StableHash(aHost.mName), aHost.mName);
  };
  std::sort(
    aHosts.begin(), aHosts.end(), [&](const auto& aLeft, const auto& aRight) {
      return rank(aLeft) < rank(aRight);
    });
  mHostsByRank.clear();
  for (const ReaderCandidate& it : aHosts) {
    mHostsByRank.push_back(it.mName);
  }
  for (auto it = mFailures.begin(); it != mFailures.end();) {
    const bool known =
      std::find(mHostsByRank.begin(), mHostsByRank.end(), it->first) !=
      mHostsByRank.end();
    it = known ? std::next(it) : mFailures.erase(it);
  }
}

bool
ReaderChoice::IsReader(Time aNow) const
{
  const auto readers = ActiveReaders(aNow);
  return std::find(readers.begin(), readers.end(), mOwnHost.mName) !=
         readers.end();
}

std::optional<std::string>
ReaderChoice::ReaderToAsk(Time aNow) const
{
  const auto readers = ActiveReaders(aNow);
  if (std::find(readers.begin(), readers.end(), mOwnHost.mName) !=
      readers.end()) {
    return std::nullopt;
  }
  return readers[StableHash(mOwnHost.mName) % readers.size()];
}

void
ReaderChoice::OnReaderAnswered(const std::string& aHost, Time aAsOf)
{
  mFailures.erase(aHost);
  OnStoreRead(aAsOf);
}

void
ReaderChoice::OnReaderFailed(const std::string& aHost, Time aNow)
{
  FailureState& failure = mFailures[aHost];
  const Duration backoff = std::min(
    kMaxBackoff,
    kInitialBackoff * (1 << std::min(failure.mConsecutiveFailures, 4)));
  ++failure.mConsecutiveFailures;
  failure.mSkippedUntil = aNow + backoff;
}

void
ReaderChoice::OnStoreRead(Time aAsOf)
{
  mKnownAsOf = std::max(mKnownAsOf, aAsOf);
}

bool
ReaderChoice::MustReadStore(RowUrgency aUrgency, Time aNow) const
{
  return (aUrgency == RowUrgency::Vital && IsStale(aNow)) || IsReader(aNow);
}

std::vector<std::string>
ReaderChoice::ActiveReaders(Time aNow) const
{
  const std::size_t readerCount =
    std::max(kMinReaders, mHostsByRank.size() / kHostsPerReader + 1);
  std::vector<std::string> readers;
  for (const std::string& it : mHostsByRank) {
    const auto failure = mFailures.find(it);
    if (failure != mFailures.end() && aNow < failure->second.mSkippedUntil) {
      continue;
    }
    readers.push_back(it);
    if (readers.size() == readerCount) {
      break;
    }
  }
  return readers;
}

} // namespace quetzalquay
