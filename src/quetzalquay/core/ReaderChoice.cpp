#include "core/ReaderChoice.h"

#include "core/Hash.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace quetzalquay {

namespace {

using std::chrono::milliseconds;

// One host of this many reads the store, and two at least.
constexpr std::size_t kHostsPerReader = 24;
constexpr std::size_t kMinReaders = 2;

// Age of what is known from which on a host reads the store itself. With the
// time that a reading takes it stays below the time in which a leaving target
// has to be left alone.
constexpr Duration kMaxAge = milliseconds(1200);

// Time for which a failed reader is passed over, doubled with each failure in a
// row up to the longest.
constexpr Duration kFirstPause = milliseconds(2000);
constexpr Duration kLongestPause = milliseconds(32000);

} // namespace

ReaderChoice::ReaderChoice(ReaderCandidate aOwn)
  : mOwn(std::move(aOwn))
  , mOrder({ mOwn.mName })
{
}

void
ReaderChoice::SetHosts(std::vector<ReaderCandidate> aHosts)
{
  const auto own =
    std::find_if(aHosts.begin(), aHosts.end(), [this](const auto& aHost) {
      return aHost.mName == mOwn.mName;
    });
  if (own == aHosts.end()) {
    aHosts.push_back(mOwn);
  }
  const auto rank = [](const ReaderCandidate& aHost) {
    return std::make_tuple(
      -aHost.mLinkMbps, StableHash(aHost.mName), aHost.mName);
  };
  std::sort(
    aHosts.begin(), aHosts.end(), [&](const auto& aLeft, const auto& aRight) {
      return rank(aLeft) < rank(aRight);
    });
  mOrder.clear();
  for (const ReaderCandidate& it : aHosts) {
    mOrder.push_back(it.mName);
  }
  for (auto it = mFailures.begin(); it != mFailures.end();) {
    const bool known =
      std::find(mOrder.begin(), mOrder.end(), it->first) != mOrder.end();
    it = known ? std::next(it) : mFailures.erase(it);
  }
}

bool
ReaderChoice::IsReader(Time aNow) const
{
  const auto readers = Readers(aNow);
  return std::find(readers.begin(), readers.end(), mOwn.mName) != readers.end();
}

std::optional<std::string>
ReaderChoice::HostToAsk(Time aNow) const
{
  const auto readers = Readers(aNow);
  if (std::find(readers.begin(), readers.end(), mOwn.mName) != readers.end()) {
    return std::nullopt;
  }
  return readers[StableHash(mOwn.mName) % readers.size()];
}

void
ReaderChoice::OnTold(const std::string& aHost, Time aAsOf)
{
  mFailures.erase(aHost);
  OnRead(aAsOf);
}

void
ReaderChoice::OnFailed(const std::string& aHost, Time aNow)
{
  Failure& failure = mFailures[aHost];
  const Duration pause =
    std::min(kLongestPause, kFirstPause * (1 << std::min(failure.mCount, 4)));
  ++failure.mCount;
  failure.mUntil = aNow + pause;
}

void
ReaderChoice::OnRead(Time aAsOf)
{
  mKnownAsOf = std::max(mKnownAsOf, aAsOf);
}

bool
ReaderChoice::MustRead(Time aNow) const
{
  return aNow - mKnownAsOf >= kMaxAge || IsReader(aNow);
}

std::vector<std::string>
ReaderChoice::Readers(Time aNow) const
{
  const std::size_t wanted =
    std::max(kMinReaders, mOrder.size() / kHostsPerReader + 1);
  std::vector<std::string> readers;
  for (const std::string& it : mOrder) {
    const auto failure = mFailures.find(it);
    if (failure != mFailures.end() && aNow < failure->second.mUntil) {
      continue;
    }
    readers.push_back(it);
    if (readers.size() == wanted) {
      break;
    }
  }
  return readers;
}

} // namespace quetzalquay
