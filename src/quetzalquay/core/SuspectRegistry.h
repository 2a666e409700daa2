#ifndef QUETZALQUAY_CORE_SUSPECTREGISTRY_H_INCLUDED
#define QUETZALQUAY_CORE_SUSPECTREGISTRY_H_INCLUDED

#include "core/NameTable.h"
#include "core/Time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace quetzalquay {

// The end of one start of a target.
struct TargetDeath
{
  // Identifies the target and its incarnation, on every host alike.
  std::uint64_t mId = 0;
  // Hash of the target's place.
  std::uint64_t mPlace = 0;
  Time mAt;
};

// A run of a request that was lost with its target.
struct LostRun
{
  TargetDeath mDeath;
  Time mStartedAt;
};

// A lost run to write to the store, or to remove from it.
struct StoredLossChange
{
  std::uint64_t mRequest = 0;
  LostRun mRun;
  // Whether the loss no longer counts, because the request was cleared.
  bool mRemoved = false;
};

// What is known against a request, for logs: its lost runs, and how many of
// them count, are due to a common failure or explained by another request.
struct SuspectEvidence
{
  int mLostRuns = 0;
  int mCounted = 0;
  int mCommonFailures = 0;
  int mExplained = 0;
  // Whether another request was lost in all of the same deaths.
  bool mTied = false;
};

// What the evidence against a request means for its next run.
enum class SuspectVerdict
{
  // The request may run.
  Free,
  // Evidence that may refuse the request is not complete yet.
  Unsettled,
  // The request may have ended enough targets to be refused, but so may others
  // that were lost with it. It may run only as a trial.
  Unclear,
  Refused,
};

// Name of a verdict in logs.
constexpr NameTable<SuspectVerdict, 4> kSuspectVerdictNames(
  { "free", "unsettled", "unclear", "refused" });

// What one host tells another about a suspected request.
struct SuspectReport
{
  std::uint64_t mRequest = 0;
  std::vector<LostRun> mRuns;
  // When the request was last cleared; earlier losses no longer count.
  std::optional<Time> mClearedAt;
};

// Identifies requests that crash the targets they run on. A request is
// identified by the hash of its workspace and content, so that a caller's retry
// counts as the same request.
//
// The evidence is a set: which targets died while running the request. It is
// kept complete and judged when a request is to be sent:
// - A death is not counted if it belongs to a common failure, such as that of
//   a place, unless the request followed the failure from target to target.
// - A death is not counted if another request that was lost with the same
//   target has lost more targets: that request explains it.
// - A death counts for a refusal only once the other hosts' evidence about it
//   should be known.
// - A request that finishes on any target does not crash targets, which clears
//   it of all earlier deaths.
// Where trials are possible, a request is refused on this evidence only if no
// other request can have caused the deaths. Otherwise it is run as a trial,
// with which no other trial shares the target. A lost trial convicts the
// request, and only a convicted request explains the deaths of others. Sets
// from several hosts are merged by their union, in any order and any number of
// times, so that each host judges by the deaths that all have seen.
class SuspectRegistry
{
public:
  // Number of counted deaths from which on a request is refused.
  static constexpr int kMinDeathsToRefuse = 3;

  // The same if another request was lost in exactly the same deaths. The next
  // run of either one usually tells them apart.
  static constexpr int kMinDeathsToRefuseTied = 5;

  // Records in one message to other hosts at most, and the time between two
  // messages that have any.
  static constexpr std::size_t kMaxNews = 16;
  static constexpr Duration kNewsInterval = std::chrono::milliseconds(100);

  // Time from the last change of a record until it expires.
  static constexpr Duration kRecordLifetime = std::chrono::minutes(10);

  // Time from a run's first output after which the run has shown that its
  // request does not crash targets.
  static constexpr Duration kProgressTime = std::chrono::milliseconds(2000);

  struct Options
  {
    // Number of targets that have to die at about the same time for the deaths
    // to count as a common failure; 0 means never.
    int mCommonDeathThreshold = 0;
    // Age from which a death counts for a refusal. By then the hosts should
    // have told each other of all requests that were lost in it.
    Duration mSettleTime = Duration::zero();
    // Whether requests are convicted by trials where the evidence is unclear.
    bool mTrials = false;
  };

  SuspectRegistry() = default;
  explicit SuspectRegistry(Options aOptions);

  // Records that a target died, whether it ran requests or not. The earliest
  // time reported for a death applies.
  void OnTargetDeath(const TargetDeath& aDeath);

  // Records that a request was lost with a target. Repeated calls for the same
  // request and death have no effect.
  void OnRunLost(std::uint64_t aRequest, const LostRun& aRun, Time aNow);

  // Clears a request that has finished or run well past the point where its
  // target died.
  void ClearSuspect(std::uint64_t aRequest, Time aNow);

  // Number of deaths that count against a request; zero if it is not a suspect.
  int Deaths(std::uint64_t aRequest, Time aNow) const;

  // What the evidence means for a request that has aPendingLosses lost runs
  // whose targets are still being checked.
  SuspectVerdict Judge(std::uint64_t aRequest,
                       int aPendingLosses,
                       Time aNow) const;

  // Records that trials have shown a request to crash targets.
  void Convict(std::uint64_t aRequest, Time aNow);

  // Whether the loss of a trial that started at aStartedAt convicts its
  // request: no other suspect was lost with it, nor a whole place. Nothing
  // while no such loss is known.
  std::optional<bool> JudgeLostTrial(std::uint64_t aRequest,
                                     Time aStartedAt,
                                     Time aNow) const;

  // What is known against a request.
  SuspectEvidence EvidenceOf(std::uint64_t aRequest, Time aNow) const;

  // Whether a request is to be refused.
  bool IsRefused(std::uint64_t aRequest, Time aNow) const;

  // Merges what another host knows about a request. Returns whether any of it
  // was new. With aPassOn, news are told to other hosts once.
  bool Merge(const SuspectReport& aReport, bool aPassOn, Time aNow);

  // Whether there are changes that other hosts have to be told.
  bool HasNews() const { return !mNews.empty(); }

  // Takes the changes to tell other hosts now, at most kMaxNews, those with the
  // most deaths first. Each change made here is returned several times,
  // some time apart, since messages may be lost.
  std::vector<SuspectReport> TakeNews(Time aNow);

  // What is known of all suspects, for a host that knows nothing yet; those
  // with the most deaths first, a bounded number.
  std::vector<SuspectReport> Reports(Time aNow);

  // Sets the number of known lost runs from which on the runs that this host
  // has lost are stored.
  void SetStoreThreshold(std::size_t aLostRuns);

  // Sets a callback that runs when there are changes to store.
  void SetStoreCallback(std::function<void()> aCall);

  // Takes the changes to store, in order.
  std::vector<StoredLossChange> TakeStoreChanges();

  // Records that a lost run was read from the store, or removed there.
  void OnStoredLoss(const StoredLossChange& aChange, Time aNow);

  // Removes expired records.
  void Expire(Time aNow);

  // Number of requests of which a lost run is known.
  std::size_t Size() const;

private:
  struct Record
  {
    std::vector<LostRun> mRuns;
    std::optional<Time> mClearedAt;
    // IDs of the deaths in which this host lost a run, and of those stored.
    std::set<std::uint64_t> mOwn;
    std::set<std::uint64_t> mStored;
    bool mConvicted = false;
    // Whether other hosts know of a lost run.
    bool mShared = false;
    // How often the last change has yet to be told, and when next.
    int mNewsLeft = 0;
    Time mNextNewsAt;
    Time mExpiresAt;
  };

  const Record* Find(std::uint64_t aRequest, Time aNow) const;
  // Returns a valid record for a request; null if there is no room for another
  // one.
  Record* Obtain(std::uint64_t aRequest, Time aNow);
  bool AddRun(std::uint64_t aRequest,
              Record& aRecord,
              const LostRun& aRun,
              Time aNow);
  // Schedules the lost runs that are not stored yet to be stored if there are
  // enough of them; with aOwnOnly, those that this host has lost.
  void StoreRuns(std::uint64_t aRequest, Record& aRecord, bool aOwnOnly);
  void RemoveRuns(std::uint64_t aRequest, Record& aRecord);
  // Schedules a changed record to be told aRepeats times.
  void Tell(std::uint64_t aRequest, Record& aRecord, int aRepeats, Time aNow);
  void Erase(std::uint64_t aRequest);
  // Number of deaths before aBefore that count against a request.
  int CountDeaths(std::uint64_t aRequest,
                  const Record& aRecord,
                  Time aBefore) const;
  // Number of lost runs that are not due to a common failure.
  std::ptrdiff_t CountOwnLosses(const Record& aRecord) const;
  bool IsCommonFailure(const Record& aRecord, const LostRun& aRun) const;
  bool IsExplained(std::uint64_t aRequest,
                   const Record& aRecord,
                   const LostRun& aRun) const;
  bool IsTied(std::uint64_t aRequest, const Record& aRecord) const;
  bool IsConvicted(std::uint64_t aRequest) const;
  bool IsUnclear(std::uint64_t aRequest, const Record& aRecord) const;

  Options mOptions;
  std::unordered_map<std::uint64_t, Record> mRecords;
  // Requests that were lost in a death, by the death's ID.
  std::unordered_map<std::uint64_t, std::vector<std::uint64_t>> mRequests;
  // Requests with changes that other hosts have to be told.
  std::set<std::uint64_t> mNews;
  std::size_t mStoreThreshold = 2;
  std::vector<StoredLossChange> mStoreChanges;
  std::function<void()> mOnStoreChange;
  // Recent deaths, the oldest first.
  std::deque<TargetDeath> mDeaths;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_CORE_SUSPECTREGISTRY_H_INCLUDED
