#ifndef QUETZALQUAY_CORE_LOSSLEDGER_H_INCLUDED
#define QUETZALQUAY_CORE_LOSSLEDGER_H_INCLUDED

#include "core/DeathLog.h"
#include "core/Time.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace quetzalquay {

// A run that was lost with its target.
struct LostRun
{
  TargetDeath mDeath;
  Time mStartedAt;
};

// A lost run to write to the store, or to remove from it.
struct StoredLossChange
{
  std::uint64_t mSuspect = 0;
  LostRun mRun;
  // Whether the loss no longer counts, because the suspect was cleared.
  bool mRemoved = false;
};

// What one host tells another about a suspect.
struct SuspectReport
{
  std::uint64_t mSuspect = 0;
  std::vector<LostRun> mRuns;
  // When the suspect was last cleared; earlier losses no longer count.
  std::optional<Time> mClearedAt;
};

// Keeps which suspects lost a run in which deaths of targets, as far as the
// fleet knows, and what of it the other hosts and the store have to be told. A
// suspect is the hash of a request's content or of a part of a prompt. Sets of
// deaths from several hosts are merged by their union, in any order and any
// number of times, so that all hosts come to know the same. Takes bounded
// memory.
class LossLedger
{
public:
  // Records in one message to other hosts at most, and the time between two
  // messages that have any.
  static constexpr std::size_t kMaxNews = 16;
  static constexpr Duration kNewsInterval = std::chrono::milliseconds(100);

  // Time from the last change of a record until it expires.
  static constexpr Duration kRecordLifetime = std::chrono::minutes(10);

  // Silence of all other hosts after which a single lost run is stored, as none
  // of them may know of it.
  static constexpr Duration kAloneAfter = std::chrono::milliseconds(3000);

  // Maximum number of lost runs in a record.
  static constexpr std::size_t kMaxRuns = 8;

  // Maximum number of records.
  static constexpr std::size_t kMaxRecords = 10000;

  // Lost runs that are stored again at once at most.
  static constexpr std::size_t kMaxStoredAgain = 500;

  // Records that a target died, whether it ran requests or not. The earliest
  // time reported for a death applies.
  void OnTargetDeath(const TargetDeath& aDeath);

  // Records that this host has lost a run of a suspect. Other hosts are told at
  // aTellAt, unless the suspect is cleared before. The store is told at once,
  // or not at all if that is later.
  void AddOwnRun(std::uint64_t aSuspect,
                 const LostRun& aRun,
                 Time aTellAt,
                 Time aNow);

  // Removes all losses of a suspect up to now.
  void Clear(std::uint64_t aSuspect, Time aNow);

  // Merges what another host knows about a suspect. Returns whether any of it
  // was new. With aPassOn, news are told to other hosts once.
  bool Merge(const SuspectReport& aReport, bool aPassOn, Time aNow);

  // Whether there are changes that other hosts have to be told.
  bool HasNews() const { return !mNews.empty(); }

  // Takes the changes to tell other hosts now, at most kMaxNews, those with the
  // most deaths first. What was lost in one failure of a place and nowhere else
  // is not told, since it says little about a suspect. Each change made here is
  // returned several times, some time apart, since messages may be lost.
  std::vector<SuspectReport> TakeNews(Time aNow);

  // What is known of all suspects, for a host that knows nothing yet; those
  // with the most deaths first, a bounded number.
  std::vector<SuspectReport> Reports(Time aNow);

  // Records that another host was heard, or that this one listens from now on.
  // A host that never listens leaves single lost runs out of the store.
  void OnHostHeard(Time aNow) { mHostHeardAt = aNow; }

  // Sets a callback that runs when there are changes to store.
  void SetStoreCallback(std::function<void()> aCall);

  // Takes the changes to store, in order.
  std::vector<StoredLossChange> TakeStoreChanges();

  // The store may have lost what was written last. The stored runs that this
  // host has lost are to be stored again, the newest ones first, and those that
  // it has removed lately are to be removed again.
  void StoreAgain(Time aNow);

  // Records that a lost run was read from the store, or removed there.
  void OnStoredLoss(const StoredLossChange& aChange, Time aNow);

  // Removes expired records.
  void Expire(Time aNow);

  // Number of suspects of which a lost run is known.
  std::size_t Size() const;

protected:
  // aPlaceFailureThreshold is the number of targets of a place that have to die
  // at about the same time for the place to have failed; 0 means that none do.
  explicit LossLedger(int aPlaceFailureThreshold = 0)
    : mPlaceFailureThreshold(aPlaceFailureThreshold)
  {
  }
  ~LossLedger() = default;

  // Called when a suspect was cleared of all losses up to aAt, here or on
  // another host.
  virtual void OnCleared(std::uint64_t aSuspect, Time aAt) = 0;

  // The known lost runs of a suspect that have not expired.
  const std::vector<LostRun>& RunsOf(std::uint64_t aSuspect, Time aNow) const;

  // When the oldest lost run of a suspect since it was last cleared was lost,
  // also if that run is no longer kept; nothing if it has none.
  std::optional<Time> LosingSince(std::uint64_t aSuspect, Time aNow) const;

  // When a suspect was last cleared, as long as that is remembered.
  std::optional<Time> LastClearedAt(std::uint64_t aSuspect, Time aNow) const;

  // Suspects that were lost in a death.
  const std::vector<std::uint64_t>& LostIn(const TargetDeath& aDeath) const;

  // What else died when a target did.
  DeathLog::Failure FailureOf(const TargetDeath& aDeath) const
  {
    return mDeaths.FailureOf(aDeath);
  }

private:
  struct Record
  {
    std::vector<LostRun> mRuns;
    // Death of the oldest run added since there were none.
    Time mLosingSince;
    std::optional<Time> mClearedAt;
    // IDs of the deaths in which this host lost a run, and of those stored.
    std::set<std::uint64_t> mOwn;
    std::set<std::uint64_t> mStored;
    // Stored runs that no longer counted when this host cleared the suspect.
    std::vector<LostRun> mUnstored;
    // Whether other hosts know of a lost run.
    bool mShared = false;
    // How often the last change has yet to be told, and when next.
    int mNewsLeft = 0;
    Time mNextNewsAt;
    Time mExpiresAt;
  };

  // Returns a valid record for a suspect, a new one if there is none.
  Record& Obtain(std::uint64_t aSuspect, Time aNow);
  bool AddRun(std::uint64_t aSuspect,
              Record& aRecord,
              const LostRun& aRun,
              Time aNow);
  // Schedules the lost runs that are not stored yet to be stored if there are
  // enough of them; with aOwnOnly, those that this host has lost.
  void StoreRuns(std::uint64_t aSuspect,
                 Record& aRecord,
                 bool aOwnOnly,
                 Time aNow);
  // What died together with a target, by the ID of its death.
  using Failures = std::unordered_map<std::uint64_t, DeathLog::Failure>;
  bool IsLostWithPlaceOnly(const std::vector<LostRun>& aRuns,
                           Failures& aFailures) const;
  void NotifyStore() const;
  void RemoveRuns(std::uint64_t aSuspect, Record& aRecord);
  void ForgetLoss(std::uint64_t aSuspect, std::uint64_t aDeath);
  // Schedules a changed record to be told aRepeats times from aAt on.
  void Tell(std::uint64_t aSuspect, Record& aRecord, int aRepeats, Time aAt);
  void Erase(std::uint64_t aSuspect);
  // Removes some records, those with the fewest losses first.
  void MakeRoom();

  std::unordered_map<std::uint64_t, Record> mRecords;
  // Suspects that were lost in a death, by the death's ID.
  std::unordered_map<std::uint64_t, std::vector<std::uint64_t>> mLostIn;
  // Suspects with changes that other hosts have to be told.
  std::set<std::uint64_t> mNews;
  std::optional<Time> mHostHeardAt;
  std::vector<StoredLossChange> mStoreChanges;
  std::function<void()> mOnStoreChange;
  DeathLog mDeaths;
  int mPlaceFailureThreshold;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_CORE_LOSSLEDGER_H_INCLUDED
