#ifndef QUETZALQUAY_CORE_SUSPECTREGISTRY_H_INCLUDED
#define QUETZALQUAY_CORE_SUSPECTREGISTRY_H_INCLUDED

#include "core/LossLedger.h"
#include "core/NameTable.h"
#include "core/RequestContent.h"
#include "core/ServedParts.h"
#include "core/Time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace quetzalquay {

// What is known against a suspect, for logs: its lost runs, and how many of
// them count, are due to a common failure or explained by another suspect.
struct SuspectEvidence
{
  int mLostRuns = 0;
  int mCounted = 0;
  int mCommonFailures = 0;
  int mExplained = 0;
  // Whether another suspect may have caused one of the deaths that count.
  bool mContested = false;
};

// What the evidence against a request means for its next run.
enum class SuspectVerdict
{
  // The request may run.
  Free,
  // Evidence that may refuse the request is not complete yet.
  Unsettled,
  // The request, or a part of its prompt, may have ended enough targets to be
  // refused, but so may others that were lost with it. It may run only as a
  // trial.
  Unclear,
  Refused,
};

// Name of a verdict in logs.
constexpr NameTable<SuspectVerdict, 4> kSuspectVerdictNames(
  { "free", "unsettled", "unclear", "refused" });

// Suspects that only crash targets together, as far as is known: a content, or
// parts of prompts. Each trial is about such a set.
struct SuspectSet
{
  SuspectSet() = default;
  // Not explicit: a suspect is a set of its own.
  SuspectSet(std::uint64_t aSuspect)
    : SuspectSet(std::vector<std::uint64_t>{ aSuspect })
  {
  }
  explicit SuspectSet(std::vector<std::uint64_t> aMembers);

  // Identifies the set on every host alike: its only member, or a hash of all.
  std::uint64_t mId = 0;
  std::vector<std::uint64_t> mMembers;
};

// What one host tells another about a set that its trial has convicted.
struct ConvictionReport
{
  std::vector<std::uint64_t> mMembers;
  Time mAt;
};

// Identifies what crashes targets: the content of a request, so that a caller's
// retry counts as the same request, or a part of prompts, which new requests
// may have. Judges by the losses that all hosts have seen, when a request is to
// be sent:
// - A request that is served on any target clears its content and its parts of
//   all earlier deaths. A part that was served lately is suspected only if it
//   goes unserved for a while after a death.
// - A death of a content is not counted if it belongs to a common failure, such
//   as that of a place, unless the request followed the failure from target to
//   target, or if another suspect that was lost with the same target explains
//   it.
// - A request that has shown progress is lost late, as sound long streams are,
//   too. Late losses count against their content only, and not if they belong
//   to a common failure. Only their trial convicts. The content is a suspect of
//   its own in them, so that other records of it stay as they are.
// - A death counts for a refusal only once the other hosts' evidence about it
//   should be known.
// Where trials are possible, a request is refused on this evidence only if no
// other one can have caused the deaths of its content. Otherwise it is run as a
// trial, with which no other trial shares the target. A lost trial convicts the
// suspects of its request, and only convicted ones explain the deaths of
// others. A conviction refuses the requests that have all of its members, so
// that a part is not refused because it has only been seen beside a crashing
// one.
class SuspectRegistry : public LossLedger
{
public:
  // Number of counted deaths from which on a request is refused.
  static constexpr int kMinDeathsToRefuse = 3;

  // The same without trials if the deaths are contested. The next run usually
  // tells the suspects apart.
  static constexpr int kMinDeathsToRefuseContested = 5;

  // Time from a run's first output after which the run has shown that its
  // request does not crash targets when it begins to run.
  static constexpr Duration kProgressTime = std::chrono::milliseconds(2000);

  // Maximum number of parts that are recorded of one lost request, and of
  // convictions.
  static constexpr std::size_t kMaxLostParts = 64;
  static constexpr std::size_t kMaxConvictions = 1000;

  // Maximum number of convictions in one message to other hosts.
  static constexpr std::size_t kMaxConvictionNews = 8;

  struct Options
  {
    // Number of targets that have to die at about the same time for the deaths
    // to count as a common failure; 0 means never.
    int mCommonDeathThreshold = 0;
    // Age from which a death counts for a refusal. By then the hosts should
    // have told each other of all requests that were lost in it.
    Duration mSettleTime = Duration::zero();
    // Whether suspects are convicted by trials where the evidence is unclear.
    bool mTrials = false;
  };

  SuspectRegistry() = default;
  explicit SuspectRegistry(Options aOptions);

  // Records that a request was lost with a target. Repeated calls for the same
  // request and death have no effect.
  void OnRunLost(const RequestContent& aContent,
                 const LostRun& aRun,
                 Time aNow);

  // Records that a request that had shown progress was lost with a target. Such
  // losses are kept apart from the others, and held against its content only.
  // If the request ran well past the point at which its runs were lost before,
  // these no longer count. Has no effect without trials.
  void OnLateRunLost(const RequestContent& aContent,
                     const LostRun& aRun,
                     Time aNow);

  // Clears the content and the parts of a request that has finished.
  void ClearSuspect(const RequestContent& aContent, Time aNow);

  // Clears the content and the parts of a request that has shown progress, but
  // not of losses after progress.
  void OnProgress(const RequestContent& aContent, Time aNow);

  // What the evidence means for a request that has aPendingLosses lost runs
  // whose targets are still being checked. A conviction that refuses it is kept
  // for longer.
  SuspectVerdict Judge(const RequestContent& aContent,
                       int aPendingLosses,
                       Time aNow) const;

  // Whether a request is to be refused.
  bool IsRefused(const RequestContent& aContent, Time aNow) const;

  // Whether a death counts against a request that is old enough for the others'
  // evidence to be there.
  bool HasDeaths(const RequestContent& aContent, Time aNow) const;

  // Whether a lost run is known of the content or of a part of a request.
  bool IsSuspected(const RequestContent& aContent, Time aNow) const;

  // What a trial of a request is about: the parts that were lost with other
  // requests, too, if one of them may be refused, or else the content. With the
  // parts, the content belongs to the set if it and few others may have caused
  // what the part with most losses has lost, and those few can't without it.
  SuspectSet SuspectsOf(const RequestContent& aContent, Time aNow) const;

  // When the next trial of a set that the store can't record may begin. The
  // hosts take turns after the newest loss that they know of, each later than
  // the one before and all later the more the set has lost, so that few hosts
  // run one before they hear of another's. aTurn is the place of this host in
  // an order on which the hosts agree.
  Time NextUnrecordedTrial(const SuspectSet& aSuspects,
                           std::size_t aTurn,
                           Time aNow) const;

  // Records that trials have shown a set to crash targets, unless all of its
  // members have just been served here and not lost since.
  void Convict(const SuspectSet& aSuspects, Time aNow);

  // Records that another host's trial has convicted a set, unless its members
  // were served since, or are in use. Returns whether that was new. With
  // aPassOn, other hosts are told once.
  bool MergeConviction(const ConvictionReport& aReport,
                       bool aPassOn,
                       Time aNow);

  // Schedules the conviction of a set to be told to other hosts. Those that do
  // not reach the store would each need a trial of their own.
  void TellConviction(const SuspectSet& aSuspects, Time aNow);

  // Whether there are convictions that other hosts have to be told.
  bool HasConvictionNews() const;

  // Takes the convictions to tell other hosts now, at most
  // kMaxConvictionNews. Each is returned several times, some time apart.
  std::vector<ConvictionReport> TakeConvictionNews(Time aNow);

  // The newest convictions, kMaxConvictionNews at most, for a host that knows
  // nothing yet.
  std::vector<ConvictionReport> ConvictionReports(Time aNow) const;

  // Whether the loss of a trial that started at aStartedAt convicts its
  // request: no other suspect was lost with it, nor a whole place. Nothing
  // while no such loss is known, or if a convicted suspect explains it.
  std::optional<bool> JudgeLostTrial(const RequestContent& aContent,
                                     Time aStartedAt,
                                     Time aNow) const;

  // The same for a trial of certain suspects. A loss after progress convicts
  // only if the trial is about such losses, and their failures are no common
  // ones.
  std::optional<bool> JudgeLostTrial(const RequestContent& aContent,
                                     const SuspectSet& aSuspects,
                                     Time aStartedAt,
                                     Time aNow) const;

  // What is known against the content of a request, or against a single part.
  SuspectEvidence EvidenceOf(const RequestContent& aContent, Time aNow) const;

  // Number of deaths that count against a suspect.
  int Deaths(std::uint64_t aSuspect, Time aNow) const;

  // Removes expired records and convictions.
  void Expire(Time aNow);

  // Number of parts that are remembered as served.
  std::size_t ServedPartCount() const { return mServed.Size(); }

private:
  struct Conviction
  {
    std::vector<std::uint64_t> mMembers;
    Time mAt;
    // Later each time that a request with the members is refused.
    mutable Time mExpiresAt;
    // How often other hosts have yet to be told, and when next.
    int mNewsLeft = 0;
    Time mNextNewsAt;
  };

  using Runs = std::vector<LostRun>;

  void Convict(const SuspectSet& aSuspects, Time aAt, Time aNow);
  bool AreInUse(const std::vector<std::uint64_t>& aSuspects, Time aNow) const;

  std::vector<std::uint64_t> PartsToRecord(const RequestContent& aContent,
                                           const LostRun& aRun,
                                           Time aNow) const;
  // Removes a suspect from the convictions made before.
  void OnCleared(std::uint64_t aSuspect, Time aAt) override;

  // Weighs the deaths before aBefore.
  SuspectEvidence Weigh(const RequestContent& aContent,
                        Time aBefore,
                        Time aNow) const;
  SuspectVerdict JudgeSuspect(std::uint64_t aSuspect,
                              int aPendingLosses,
                              Time aNow) const;
  SuspectVerdict JudgeLate(const RequestContent& aContent,
                           int aPendingLosses,
                           Time aNow) const;
  SuspectVerdict VerdictOf(const std::vector<LostRun>& aRuns,
                           int aLosses,
                           int aPendingLosses,
                           Time aNow) const;
  // Number of lost runs that are not due to a common failure.
  std::ptrdiff_t CountOwnLosses(const Runs& aRuns) const;
  bool IsCommonFailure(const Runs& aRuns, const LostRun& aRun) const;
  bool IsPlaceFailure(const Runs& aRuns, const LostRun& aRun) const;
  int CountFailures(const Runs& aRuns) const;
  bool IsExplained(std::uint64_t aSuspect,
                   const Runs& aRuns,
                   const LostRun& aRun,
                   Time aNow) const;
  bool IsConvicted(const RequestContent& aContent, Time aNow) const;
  // Whether a valid conviction has all of its members in a request.
  static bool Applies(const Conviction& aConviction,
                      const RequestContent& aContent,
                      Time aNow);
  void ExtendConvictions(const RequestContent& aContent, Time aNow) const;
  bool IsServedLately(std::uint64_t aPart, Time aNow) const;

  // Leaves only those parts that were always lost with one that has the most
  // losses, aLosses of them, if few others can't have caused these between
  // them.
  void RemoveCompanions(std::vector<std::uint64_t>& aParts,
                        std::size_t aLosses,
                        Time aNow) const;

  // Whether so many suspects other than some may between them have caused all
  // deaths of lost runs.
  bool HasFewRivals(const std::vector<std::uint64_t>& aSuspects,
                    const Runs& aRuns,
                    int aMaxRivals,
                    Time aNow) const;

  // Whether a suspect that a request does not have, and that was neither
  // convicted nor served lately, was lost in a death and has lost runs that
  // meet a condition.
  template<typename Condition>
  bool HasRival(const RequestContent& aContent,
                const TargetDeath& aDeath,
                Time aNow,
                const Condition& aCondition) const;

  Options mOptions;
  // By the ID of the set.
  std::map<std::uint64_t, Conviction> mConvictions;
  ServedParts mServed;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_CORE_SUSPECTREGISTRY_H_INCLUDED
