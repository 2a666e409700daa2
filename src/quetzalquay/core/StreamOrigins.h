#ifndef QUETZALQUAY_CORE_STREAMORIGINS_H_INCLUDED
#define QUETZALQUAY_CORE_STREAMORIGINS_H_INCLUDED

#include "core/Time.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace quetzalquay {

// Where a stream began: at the target that brought its first event. Never
// changes once the stream has begun. A stream may be taken up again only at a
// target of the same service and software version.
struct StreamOrigin
{
  // Stable hash of the ID of the caller's request that brought the first event.
  std::uint64_t mKey = 0;
  std::string mService;
  std::string mSoftwareVersion;
  // Attempt at which the stream began. Builds before 551d6f0 tell of each
  // attempt before its first event, and a later attempt replaces earlier ones.
  // They read kBegun as one that nothing replaces.
  int mAttempt = kBegun;

  static constexpr int kBegun = std::numeric_limits<int>::max();
};

// How the origin of a stream is known.
enum class OriginSource
{
  // The stream ran at this host.
  Own,
  // Another host announced it.
  Peer,
  // It was read from the store.
  Store,
  // The service has had a single software version for long enough.
  OnlyVersion,
};

// Name of a source in logs.
std::string_view
NameOf(OriginSource aSource);

// Origins of streams, so that a stream can be taken up at any host. Decides
// which ones are announced to the other hosts and stored: those of announced
// services, where targets of several software versions serve. Bounded; the
// oldest entries are dropped first. Performs no I/O; not thread-safe.
class StreamOrigins
{
public:
  // Time for which an origin is kept after the end or the last announcement of
  // its stream. Longer than callers wait for a stream.
  static constexpr Duration kLifetime = std::chrono::minutes(2);

  // Time between the two announcements of an origin.
  static constexpr Duration kRepeatDelay = std::chrono::milliseconds(500);

  static constexpr std::size_t kMaxEntries = 20000;

  // Origins that are stored again at once at most.
  static constexpr std::size_t kMaxStoredAgain = 500;

  explicit StreamOrigins(std::size_t aMaxEntries = kMaxEntries);

  // A known origin.
  struct Known
  {
    StreamOrigin mOrigin;
    OriginSource mSource = OriginSource::Own;
    Time mLearnedAt;
  };

  // A stream of this host has its first event, or the first one since its
  // caller has taken it up. Attempts without an event may be followed by others
  // at another version, so they are not reported.
  void OnBegun(const StreamOrigin& aOrigin, Time aNow);

  // A stream of this host has ended. If aComplete, its caller has no reason to
  // take it up.
  void OnEnded(std::uint64_t aKey, bool aComplete, Time aNow);

  // Another host has announced an origin, or the store has it.
  void OnReported(const StreamOrigin& aOrigin, OriginSource aSource, Time aNow);

  // Origin of a stream; nothing if it is not known.
  std::optional<Known> Find(std::uint64_t aKey, Time aNow);

  // Sets the services whose streams are announced. Streams of this host that
  // run already, or were broken off, follow.
  void SetAnnouncedServices(std::set<std::string> aServices, Time aNow);

  // Sets whether the streams of all services are told to the other hosts, those
  // of announced ones included. Only the latter are stored.
  void SetTellsAll(bool aTellsAll) { mTellsAll = aTellsAll; }

  // Replaces the software version of known origins, when the version of a
  // target that was found without an entry becomes known.
  void RenameVersion(const std::string& aService,
                     const std::string& aFrom,
                     const std::string& aTo);

  // At most aMax origins that have to be announced now. Each is returned twice.
  std::vector<StreamOrigin> TakeNews(Time aNow, std::size_t aMax);

  // When TakeNews() has to be called next; Time::max() if there is no news.
  Time NextNewsAt() const;

  // A change of the stored origins.
  struct StoreChange
  {
    StreamOrigin mOrigin;
    bool mRemoved = false;
  };

  // Whether an origin is to be stored and nothing has shown yet that it is.
  bool IsBeingStored(std::uint64_t aKey) const;

  // The store has an origin.
  void OnStored(std::uint64_t aKey);

  // Origins to be stored or removed since the last call.
  std::vector<StoreChange> TakeStoreChanges();

  // The store may have lost what was written last. Those stored origins whose
  // streams were here last are to be stored again, the newest ones first.
  void StoreAgain(Time aNow);

  // Sets a callback that runs whenever there is news.
  void SetNewsCallback(std::function<void()> aCallback);

  // Sets a callback that runs whenever there is a change to be stored, and
  // tells whether it only removes an origin.
  void SetStoreCallback(std::function<void(bool)> aCallback);

  std::size_t Size() const { return mEntries.size(); }

private:
  struct Entry
  {
    StreamOrigin mOrigin;
    OriginSource mSource = OriginSource::Own;
    Time mLearnedAt;
    Time mExpiresAt;
    // Whether a stream of this host has this origin, and whether it is running.
    bool mOwn = false;
    bool mRunning = false;
    bool mComplete = false;
    int mAnnouncementsLeft = 0;
    // Whether the store has the origin, or will have it, and since when.
    bool mStored = false;
    Time mStoredAt;
    // Whether the store has confirmed it.
    bool mConfirmed = false;
    // Whether another host has announced the stream since it ran here. That
    // host removes the row when the stream is complete.
    bool mElsewhere = false;
  };

  Entry& Touch(const StreamOrigin& aOrigin, Time aNow);
  void Tell(Entry& aEntry, Time aNow);
  void Announce(Entry& aEntry, Time aNow);
  void DropExpired(Time aNow);
  void Drop(std::uint64_t aKey);

  std::size_t mMaxEntries;
  std::unordered_map<std::uint64_t, Entry> mEntries;
  // Keys by the time from which they may have expired.
  std::deque<std::pair<Time, std::uint64_t>> mExpiries;
  std::set<std::string> mAnnouncedServices;
  // Whether the other hosts are told of the streams of all services.
  bool mTellsAll = false;
  std::multimap<Time, std::uint64_t> mNews;
  std::map<std::uint64_t, StoreChange> mStoreChanges;
  std::function<void()> mOnNews = [] {};
  std::function<void(bool)> mOnStoreChange = [](bool) {};
};

} // namespace quetzalquay

#endif // QUETZALQUAY_CORE_STREAMORIGINS_H_INCLUDED
