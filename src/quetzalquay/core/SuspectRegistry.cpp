#include "core/SuspectRegistry.h"

#include "core/Hash.h"

#include <algorithm>
#include <bitset>
#include <set>
#include <string>
#include <tuple>
#include <utility>

namespace quetzalquay {

namespace {

// Time within which all deaths of a request count as one moment. They say
// little if other requests were lost in them as well.
constexpr Duration kMoment = std::chrono::milliseconds(1000);

// Lost runs from which on a suspect may itself have caused a death that it was
// lost in, so that the death does not speak against another one alone.
constexpr std::size_t kMinRivalLosses = 2;

// Others that may have caused all losses of a part between them. If it takes
// more of them, the part is the likelier cause.
constexpr int kMaxRivals = 3;

// Parts that may have caused all losses of another part of their requests
// between them.
constexpr int kMaxCompanions = 2;

// Time after a death within which another request with the same parts is served
// if the parts are sound and in use.
constexpr Duration kServedAgainWithin = std::chrono::seconds(3);

// Pause after the third loss of a set before a trial of it that the store does
// not record, twice as long after each further one; and the time that a host
// has to start one and to tell the others of its loss.
constexpr Duration kUnrecordedTrialPause = std::chrono::seconds(1);
constexpr Duration kUnrecordedTrialTurn = std::chrono::milliseconds(400);

// Number of times that a conviction is told to other hosts, and the time
// between.
constexpr int kConvictionNewsRepeats = 4;
constexpr Duration kConvictionNewsDelay = std::chrono::milliseconds(300);

// What is known of a part of a lost request, in the order in which parts are
// recorded.
enum class PartKnowledge
{
  Lost,
  Nothing,
  InUse,
};

bool
Contains(const std::vector<std::uint64_t>& aList, std::uint64_t aSuspect)
{
  return std::find(aList.begin(), aList.end(), aSuspect) != aList.end();
}

// The suspect that a content is in what it loses after progress, alike on every
// host.
std::uint64_t
LateSuspectOf(const RequestContent& aContent)
{
  return aContent.mHash ^ 0x6c61746520727573ULL;
}

bool
Has(const RequestContent& aContent, std::uint64_t aSuspect)
{
  return aContent.mHash == aSuspect || LateSuspectOf(aContent) == aSuspect ||
         Contains(aContent.mParts, aSuspect);
}

} // namespace

SuspectSet::SuspectSet(std::vector<std::uint64_t> aMembers)
  : mMembers(std::move(aMembers))
{
  std::sort(mMembers.begin(), mMembers.end());
  mMembers.erase(std::unique(mMembers.begin(), mMembers.end()), mMembers.end());
  for (const std::uint64_t it : mMembers) {
    mId = mMembers.size() == 1 ? it : StableHash(ToHex(it), mId);
  }
}

SuspectRegistry::SuspectRegistry(Options aOptions)
  : LossLedger(aOptions.mCommonDeathThreshold)
  , mOptions(aOptions)
{
}

void
SuspectRegistry::OnRunLost(const RequestContent& aContent,
                           const LostRun& aRun,
                           Time aNow)
{
  OnTargetDeath(aRun.mDeath);
  AddOwnRun(aContent.mHash, aRun, aNow, aNow);
  for (const std::uint64_t it : PartsToRecord(aContent, aRun, aNow)) {
    // The losses of a part in use are told only if it is not served again.
    AddOwnRun(it,
              aRun,
              IsServedLately(it, aNow) ? aNow + kServedAgainWithin : aNow,
              aNow);
  }
}

void
SuspectRegistry::OnLateRunLost(const RequestContent& aContent,
                               const LostRun& aRun,
                               Time aNow)
{
  if (!mOptions.mTrials) {
    return;
  }
  OnTargetDeath(aRun.mDeath);
  const std::uint64_t late = LateSuspectOf(aContent);
  const auto lengthOf = [](const LostRun& aLost) {
    return aLost.mDeath.mAt - aLost.mStartedAt;
  };
  const Runs& runs = RunsOf(late, aNow);
  const bool isLonger =
    std::all_of(runs.begin(), runs.end(), [&](const LostRun& aOther) {
      return lengthOf(aOther) + kProgressTime < lengthOf(aRun);
    });
  if (!runs.empty() && isLonger) {
    Clear(late, aRun.mStartedAt);
  }
  AddOwnRun(late, aRun, aNow, aNow);
}

// The parts of a lost request whose losses are recorded: first those that have
// losses, then unknown ones, last those in use. Of too many unknown ones, each
// death gets others, so that a deadly one is among them sooner or later.
std::vector<std::uint64_t>
SuspectRegistry::PartsToRecord(const RequestContent& aContent,
                               const LostRun& aRun,
                               Time aNow) const
{
  struct Ranked
  {
    PartKnowledge mKnowledge;
    std::uint64_t mOrder;
    std::uint64_t mPart;
  };
  std::vector<Ranked> ranked;
  ranked.reserve(aContent.mParts.size());
  for (const std::uint64_t it : aContent.mParts) {
    // A death may become known long after it.
    const auto servedAt = mServed.LastServedAt(it);
    if (servedAt && *servedAt > aRun.mDeath.mAt) {
      continue;
    }
    const PartKnowledge knowledge =
      IsServedLately(it, aNow)   ? PartKnowledge::InUse
      : RunsOf(it, aNow).empty() ? PartKnowledge::Nothing
                                 : PartKnowledge::Lost;
    ranked.push_back({ knowledge, StableHash(ToHex(it), aRun.mDeath.mId), it });
  }
  const auto key = [](const Ranked& aPart) {
    return std::make_tuple(aPart.mKnowledge, aPart.mOrder, aPart.mPart);
  };
  std::sort(ranked.begin(),
            ranked.end(),
            [&](const Ranked& aLeft, const Ranked& aRight) {
              return key(aLeft) < key(aRight);
            });
  std::vector<std::uint64_t> parts;
  for (const Ranked& it : ranked) {
    if (parts.size() < kMaxLostParts &&
        (parts.empty() || parts.back() != it.mPart)) {
      parts.push_back(it.mPart);
    }
  }
  return parts;
}

void
SuspectRegistry::ClearSuspect(const RequestContent& aContent, Time aNow)
{
  Clear(LateSuspectOf(aContent), aNow);
  OnProgress(aContent, aNow);
}

void
SuspectRegistry::OnProgress(const RequestContent& aContent, Time aNow)
{
  Clear(aContent.mHash, aNow);
  for (const std::uint64_t it : aContent.mParts) {
    mServed.OnServed(it, aNow);
    Clear(it, aNow);
  }
}

void
SuspectRegistry::OnCleared(std::uint64_t aSuspect, Time aAt)
{
  for (auto it = mConvictions.begin(); it != mConvictions.end();) {
    auto& members = it->second.mMembers;
    if (it->second.mAt <= aAt) {
      members.erase(std::remove(members.begin(), members.end(), aSuspect),
                    members.end());
    }
    it = members.empty() ? mConvictions.erase(it) : std::next(it);
  }
}

SuspectVerdict
SuspectRegistry::Judge(const RequestContent& aContent,
                       int aPendingLosses,
                       Time aNow) const
{
  if (IsRefused(aContent, aNow)) {
    ExtendConvictions(aContent, aNow);
    return SuspectVerdict::Refused;
  }
  SuspectVerdict verdict = JudgeSuspect(aContent.mHash, aPendingLosses, aNow);
  for (const std::uint64_t it : aContent.mParts) {
    if (verdict == SuspectVerdict::Unsettled) {
      break;
    }
    const SuspectVerdict ofPart = IsServedLately(it, aNow)
                                    ? SuspectVerdict::Free
                                    : JudgeSuspect(it, aPendingLosses, aNow);
    verdict = ofPart == SuspectVerdict::Free ? verdict : ofPart;
  }
  return verdict == SuspectVerdict::Free
           ? JudgeLate(aContent, aPendingLosses, aNow)
           : verdict;
}

// What is known from losses after progress. A long stream is lost with each
// place that fails, so these failures don't count.
SuspectVerdict
SuspectRegistry::JudgeLate(const RequestContent& aContent,
                           int aPendingLosses,
                           Time aNow) const
{
  const Runs& runs = RunsOf(LateSuspectOf(aContent), aNow);
  const int losses = static_cast<int>(CountOwnLosses(runs));
  return VerdictOf(runs, losses, losses > 0 ? aPendingLosses : 0, aNow);
}

SuspectVerdict
SuspectRegistry::JudgeSuspect(std::uint64_t aSuspect,
                              int aPendingLosses,
                              Time aNow) const
{
  const Runs& runs = RunsOf(aSuspect, aNow);
  // With trials, even a suspect whose deaths are all explained by others may
  // crash targets, too.
  const int deaths =
    mOptions.mTrials ? CountFailures(runs) : Deaths(aSuspect, aNow);
  return VerdictOf(runs, deaths, aPendingLosses, aNow);
}

SuspectVerdict
SuspectRegistry::VerdictOf(const std::vector<LostRun>& aRuns,
                           int aLosses,
                           int aPendingLosses,
                           Time aNow) const
{
  if (aPendingLosses + aLosses < kMinDeathsToRefuse) {
    return SuspectVerdict::Free;
  }
  const bool settled =
    aPendingLosses == 0 &&
    std::all_of(aRuns.begin(), aRuns.end(), [&](const LostRun& aRun) {
      return aRun.mDeath.mAt <= aNow - mOptions.mSettleTime;
    });
  return settled && mOptions.mTrials ? SuspectVerdict::Unclear
                                     : SuspectVerdict::Unsettled;
}

bool
SuspectRegistry::IsRefused(const RequestContent& aContent, Time aNow) const
{
  if (IsConvicted(aContent, aNow)) {
    return true;
  }
  const SuspectEvidence evidence =
    Weigh(aContent, aNow - mOptions.mSettleTime, aNow);
  if (!evidence.mContested) {
    return evidence.mCounted >= kMinDeathsToRefuse;
  }
  return !mOptions.mTrials && evidence.mCounted >= kMinDeathsToRefuseContested;
}

bool
SuspectRegistry::HasDeaths(const RequestContent& aContent, Time aNow) const
{
  return Weigh(aContent, aNow - mOptions.mSettleTime, aNow).mCounted > 0;
}

bool
SuspectRegistry::IsSuspected(const RequestContent& aContent, Time aNow) const
{
  return !RunsOf(aContent.mHash, aNow).empty() ||
         !RunsOf(LateSuspectOf(aContent), aNow).empty() ||
         std::any_of(
           aContent.mParts.begin(),
           aContent.mParts.end(),
           [&](std::uint64_t aPart) { return !RunsOf(aPart, aNow).empty(); });
}

SuspectSet
SuspectRegistry::SuspectsOf(const RequestContent& aContent, Time aNow) const
{
  const std::uint64_t late = LateSuspectOf(aContent);
  if (CountOwnLosses(RunsOf(late, aNow)) >= kMinDeathsToRefuse) {
    return late;
  }
  // Any part that other requests lost, too, may be the one to blame, also if
  // it has not been lost often enough by itself.
  const std::size_t own = RunsOf(aContent.mHash, aNow).size();
  std::vector<std::uint64_t> parts;
  const Runs* most = nullptr;
  for (const std::uint64_t it : aContent.mParts) {
    const Runs& runs = RunsOf(it, aNow);
    if (runs.size() > own && !IsServedLately(it, aNow)) {
      parts.push_back(it);
      most = most == nullptr || runs.size() > most->size() ? &runs : most;
    }
  }
  if (most == nullptr || most->size() < kMinDeathsToRefuse) {
    return SuspectSet(aContent.mHash);
  }
  RemoveCompanions(parts, most->size(), aNow);
  // A few contents that crash targets by themselves may have caused what their
  // sound parts have lost together.
  std::vector<std::uint64_t> all = parts;
  all.push_back(aContent.mHash);
  const bool contentIsNeeded = HasFewRivals(parts, *most, kMaxRivals, aNow) &&
                               !HasFewRivals(all, *most, kMaxRivals, aNow);
  return SuspectSet(std::move(contentIsNeeded ? all : parts));
}

// Parts that take turns beside a deadly one would make as many sets, each with
// trials of its own.
void
SuspectRegistry::RemoveCompanions(std::vector<std::uint64_t>& aParts,
                                  std::size_t aLosses,
                                  Time aNow) const
{
  const auto isLikeliest = [&](std::uint64_t aPart) {
    const Runs& runs = RunsOf(aPart, aNow);
    return runs.size() == aLosses &&
           !HasFewRivals({ aPart }, runs, kMaxCompanions, aNow);
  };
  const auto likeliest =
    std::find_if(aParts.begin(), aParts.end(), isLikeliest);
  if (likeliest == aParts.end()) {
    return;
  }
  const Runs& runs = RunsOf(*likeliest, aNow);
  const auto isCompanion = [&](std::uint64_t aPart) {
    return std::any_of(runs.begin(), runs.end(), [&](const LostRun& aRun) {
      return !Contains(LostIn(aRun.mDeath), aPart);
    });
  };
  aParts.erase(std::remove_if(aParts.begin(), aParts.end(), isCompanion),
               aParts.end());
}

bool
SuspectRegistry::HasFewRivals(const std::vector<std::uint64_t>& aSuspects,
                              const Runs& aRuns,
                              int aMaxRivals,
                              Time aNow) const
{
  // Bit n stands for the death of run n.
  using Deaths = std::bitset<kMaxRuns>;
  std::map<std::uint64_t, Deaths> deathsOf;
  for (std::size_t n = 0; n < aRuns.size(); ++n) {
    for (const std::uint64_t it : LostIn(aRuns[n].mDeath)) {
      deathsOf[it].set(n);
    }
  }
  std::set<unsigned long> ofRivals;
  for (const auto& it : deathsOf) {
    if (!Contains(aSuspects, it.first) && !IsServedLately(it.first, aNow)) {
      ofRivals.insert(it.second.to_ulong());
    }
  }
  // What so many rivals can have caused together.
  std::set<unsigned long> caused = { 0 };
  for (int rivals = 0; rivals < aMaxRivals; ++rivals) {
    std::set<unsigned long> more = caused;
    for (const unsigned long before : caused) {
      for (const unsigned long it : ofRivals) {
        more.insert(before | it);
      }
    }
    caused.swap(more);
  }
  return caused.count((1UL << aRuns.size()) - 1) != 0;
}

Time
SuspectRegistry::NextUnrecordedTrial(const SuspectSet& aSuspects,
                                     std::size_t aTurn,
                                     Time aNow) const
{
  std::size_t losses = 0;
  Time newest;
  for (const std::uint64_t it : aSuspects.mMembers) {
    const Runs& runs = RunsOf(it, aNow);
    losses = std::max(losses, runs.size());
    for (const LostRun& run : runs) {
      newest = std::max(newest, run.mDeath.mAt);
    }
  }
  Duration pause = kUnrecordedTrialPause;
  for (std::size_t n = kMinDeathsToRefuse; n < losses; ++n) {
    pause *= 2;
  }
  return newest + pause + aTurn * kUnrecordedTrialTurn;
}

bool
SuspectRegistry::AreInUse(const std::vector<std::uint64_t>& aSuspects,
                          Time aNow) const
{
  return std::all_of(
    aSuspects.begin(), aSuspects.end(), [&](std::uint64_t aMember) {
      const auto servedAt = mServed.LastServedAt(aMember);
      return servedAt && aNow - *servedAt < kServedAgainWithin &&
             RunsOf(aMember, aNow).empty();
    });
}

void
SuspectRegistry::Convict(const SuspectSet& aSuspects, Time aNow)
{
  Convict(aSuspects, aNow, aNow);
}

void
SuspectRegistry::Convict(const SuspectSet& aSuspects, Time aAt, Time aNow)
{
  if (AreInUse(aSuspects.mMembers, aNow)) {
    return;
  }
  if (mConvictions.size() >= kMaxConvictions) {
    mConvictions.erase(
      std::min_element(mConvictions.begin(),
                       mConvictions.end(),
                       [](const auto& aLeft, const auto& aRight) {
                         return aLeft.second.mAt < aRight.second.mAt;
                       }));
  }
  Conviction& conviction = mConvictions[aSuspects.mId];
  conviction.mMembers = aSuspects.mMembers;
  conviction.mAt = aAt;
  conviction.mExpiresAt = aAt + kRecordLifetime;
}

bool
SuspectRegistry::MergeConviction(const ConvictionReport& aReport,
                                 bool aPassOn,
                                 Time aNow)
{
  std::vector<std::uint64_t> members = aReport.mMembers;
  const auto wasCleared = [&](std::uint64_t aMember) {
    const auto servedAt = mServed.LastServedAt(aMember);
    const auto clearedAt = LastClearedAt(aMember, aNow);
    return (servedAt && *servedAt >= aReport.mAt) ||
           (clearedAt && *clearedAt >= aReport.mAt);
  };
  members.erase(std::remove_if(members.begin(), members.end(), wasCleared),
                members.end());
  if (members.empty() || aNow - aReport.mAt >= kRecordLifetime) {
    return false;
  }
  const SuspectSet suspects(std::move(members));
  const auto known = mConvictions.find(suspects.mId);
  if (known != mConvictions.end() && known->second.mExpiresAt > aNow) {
    known->second.mAt = std::max(known->second.mAt, aReport.mAt);
    return false;
  }
  Convict(suspects, aReport.mAt, aNow);
  const auto added = mConvictions.find(suspects.mId);
  if (added == mConvictions.end()) {
    return false;
  }
  added->second.mNewsLeft = aPassOn ? 1 : 0;
  added->second.mNextNewsAt = aNow;
  return true;
}

void
SuspectRegistry::TellConviction(const SuspectSet& aSuspects, Time aNow)
{
  const auto it = mConvictions.find(aSuspects.mId);
  if (it != mConvictions.end()) {
    it->second.mNewsLeft = kConvictionNewsRepeats;
    it->second.mNextNewsAt = aNow;
  }
}

bool
SuspectRegistry::HasConvictionNews() const
{
  return std::any_of(
    mConvictions.begin(), mConvictions.end(), [](const auto& aEntry) {
      return aEntry.second.mNewsLeft > 0;
    });
}

std::vector<ConvictionReport>
SuspectRegistry::TakeConvictionNews(Time aNow)
{
  std::vector<ConvictionReport> reports;
  for (auto& it : mConvictions) {
    Conviction& conviction = it.second;
    if (conviction.mNewsLeft > 0 && conviction.mNextNewsAt <= aNow &&
        reports.size() < kMaxConvictionNews) {
      --conviction.mNewsLeft;
      conviction.mNextNewsAt = aNow + kConvictionNewsDelay;
      reports.push_back({ conviction.mMembers, conviction.mAt });
    }
  }
  return reports;
}

std::vector<ConvictionReport>
SuspectRegistry::ConvictionReports(Time aNow) const
{
  std::vector<ConvictionReport> reports;
  for (const auto& it : mConvictions) {
    if (aNow < it.second.mExpiresAt) {
      reports.push_back({ it.second.mMembers, it.second.mAt });
    }
  }
  const auto newer = [](const auto& aLeft, const auto& aRight) {
    return aLeft.mAt > aRight.mAt;
  };
  std::sort(reports.begin(), reports.end(), newer);
  reports.resize(std::min(reports.size(), kMaxConvictionNews));
  return reports;
}

std::optional<bool>
SuspectRegistry::JudgeLostTrial(const RequestContent& aContent,
                                Time aStartedAt,
                                Time aNow) const
{
  const Runs& runs = RunsOf(aContent.mHash, aNow);
  const auto trial =
    std::find_if(runs.begin(), runs.end(), [&](const LostRun& aRun) {
      return aRun.mStartedAt >= aStartedAt;
    });
  if (trial == runs.end() || IsExplained(aContent.mHash, runs, *trial, aNow)) {
    return std::nullopt;
  }
  const bool rival =
    HasRival(aContent, trial->mDeath, aNow, [](const Runs& aOther) {
      return aOther.size() > kMinRivalLosses;
    });
  return !rival && !IsCommonFailure(runs, *trial);
}

std::optional<bool>
SuspectRegistry::JudgeLostTrial(const RequestContent& aContent,
                                const SuspectSet& aSuspects,
                                Time aStartedAt,
                                Time aNow) const
{
  const std::uint64_t late = LateSuspectOf(aContent);
  if (aSuspects.mId != late) {
    return JudgeLostTrial(aContent, aStartedAt, aNow);
  }
  // The trial may have shown that the others were lost by chance, or a common
  // failure may have ended it.
  if (CountOwnLosses(RunsOf(late, aNow)) <= kMinDeathsToRefuse) {
    return std::nullopt;
  }
  return JudgeLostTrial({ late, aContent.mParts }, aStartedAt, aNow);
}

SuspectEvidence
SuspectRegistry::EvidenceOf(const RequestContent& aContent, Time aNow) const
{
  return Weigh(aContent, Time::max(), aNow);
}

int
SuspectRegistry::Deaths(std::uint64_t aSuspect, Time aNow) const
{
  return EvidenceOf(aSuspect, aNow).mCounted;
}

void
SuspectRegistry::Expire(Time aNow)
{
  LossLedger::Expire(aNow);
  for (auto it = mConvictions.begin(); it != mConvictions.end();) {
    it = aNow >= it->second.mExpiresAt ? mConvictions.erase(it) : std::next(it);
  }
}

SuspectEvidence
SuspectRegistry::Weigh(const RequestContent& aContent,
                       Time aBefore,
                       Time aNow) const
{
  SuspectEvidence evidence;
  const Runs& runs = RunsOf(aContent.mHash, aNow);
  std::vector<TargetDeath> counted;
  for (const LostRun& it : runs) {
    if (it.mDeath.mAt > aBefore) {
      continue;
    }
    ++evidence.mLostRuns;
    if (IsCommonFailure(runs, it)) {
      ++evidence.mCommonFailures;
    } else if (IsExplained(aContent.mHash, runs, it, aNow)) {
      ++evidence.mExplained;
    } else {
      counted.push_back(it.mDeath);
    }
  }
  evidence.mCounted = static_cast<int>(counted.size());
  if (counted.empty()) {
    return evidence;
  }
  const auto range = std::minmax_element(
    counted.begin(),
    counted.end(),
    [](const TargetDeath& aLeft, const TargetDeath& aRight) {
      return aLeft.mAt < aRight.mAt;
    });
  // In one moment, a harmless request may have been retried on one failing
  // target after the other.
  const bool oneMoment = range.second->mAt - range.first->mAt < kMoment;
  const auto mayCrash = [&](const Runs& aOther) {
    return mOptions.mTrials ? oneMoment || aOther.size() >= kMinRivalLosses
                            : CountOwnLosses(aOther) >= CountOwnLosses(runs);
  };
  evidence.mContested =
    std::any_of(counted.begin(), counted.end(), [&](const TargetDeath& aDeath) {
      return HasRival(aContent, aDeath, aNow, mayCrash);
    });
  return evidence;
}

std::ptrdiff_t
SuspectRegistry::CountOwnLosses(const Runs& aRuns) const
{
  return std::count_if(aRuns.begin(), aRuns.end(), [&](const LostRun& aRun) {
    return !IsCommonFailure(aRuns, aRun);
  });
}

// Number of lost runs, of which those lost with the same place count as one: a
// place may fail by itself, but not each time that a sound suspect comes.
int
SuspectRegistry::CountFailures(const Runs& aRuns) const
{
  std::vector<TargetDeath> places;
  int failures = 0;
  for (const LostRun& it : aRuns) {
    if (IsPlaceFailure(aRuns, it)) {
      const bool known = std::any_of(
        places.begin(), places.end(), [&](const TargetDeath& aOther) {
          return aOther.mPlace == it.mDeath.mPlace &&
                 AreTogether(aOther, it.mDeath);
        });
      if (known) {
        continue;
      }
      places.push_back(it.mDeath);
    }
    ++failures;
  }
  return failures;
}

// Whether a run was lost in a failure of several targets that its request did
// not cause: the failure of a place in which all the request's runs had started
// before, or several deaths at once in only one of which it lost a run.
bool
SuspectRegistry::IsCommonFailure(const Runs& aRuns, const LostRun& aRun) const
{
  const auto own =
    std::count_if(aRuns.begin(), aRuns.end(), [&](const LostRun& aOther) {
      return AreTogether(aOther.mDeath, aRun.mDeath);
    });
  return IsPlaceFailure(aRuns, aRun) ||
         (own == 1 && mOptions.mCommonDeathThreshold > 0 &&
          FailureOf(aRun.mDeath).mDeaths >= mOptions.mCommonDeathThreshold);
}

// Whether a run was lost with a place and its request did not follow the
// failure from target to target.
bool
SuspectRegistry::IsPlaceFailure(const Runs& aRuns, const LostRun& aRun) const
{
  const DeathLog::Failure failure = FailureOf(aRun.mDeath);
  return mOptions.mCommonDeathThreshold > 0 &&
         failure.mInPlace >= mOptions.mCommonDeathThreshold &&
         std::none_of(aRuns.begin(), aRuns.end(), [&](const LostRun& aOther) {
           return AreTogether(aOther.mDeath, aRun.mDeath) &&
                  aOther.mDeath.mPlace == aRun.mDeath.mPlace &&
                  aOther.mStartedAt >= failure.mFirstInPlace;
         });
}

// Whether others that were lost with the same target explain its death:
// convicted ones or, without trials, one that has lost more targets.
bool
SuspectRegistry::IsExplained(std::uint64_t aSuspect,
                             const Runs& aRuns,
                             const LostRun& aRun,
                             Time aNow) const
{
  RequestContent others;
  others.mParts = LostIn(aRun.mDeath);
  auto& parts = others.mParts;
  parts.erase(std::remove(parts.begin(), parts.end(), aSuspect), parts.end());
  if (mOptions.mTrials) {
    return IsConvicted(others, aNow);
  }
  const auto own = CountOwnLosses(aRuns);
  return std::any_of(parts.begin(), parts.end(), [&](std::uint64_t aOther) {
    return CountOwnLosses(RunsOf(aOther, aNow)) > own;
  });
}

bool
SuspectRegistry::Applies(const Conviction& aConviction,
                         const RequestContent& aContent,
                         Time aNow)
{
  const auto& members = aConviction.mMembers;
  return aNow < aConviction.mExpiresAt &&
         std::all_of(
           members.begin(), members.end(), [&](std::uint64_t aMember) {
             return Has(aContent, aMember);
           });
}

bool
SuspectRegistry::IsConvicted(const RequestContent& aContent, Time aNow) const
{
  return std::any_of(
    mConvictions.begin(), mConvictions.end(), [&](const auto& aEntry) {
      return Applies(aEntry.second, aContent, aNow);
    });
}

void
SuspectRegistry::ExtendConvictions(const RequestContent& aContent,
                                   Time aNow) const
{
  for (const auto& it : mConvictions) {
    if (Applies(it.second, aContent, aNow)) {
      it.second.mExpiresAt = aNow + kRecordLifetime;
    }
  }
}

bool
SuspectRegistry::IsServedLately(std::uint64_t aPart, Time aNow) const
{
  const auto servedAt = mServed.LastServedAt(aPart);
  const auto losingSince = LosingSince(aPart, aNow);
  return servedAt && aNow - *servedAt < ServedParts::kMemory &&
         (!losingSince || aNow - *losingSince < kServedAgainWithin);
}

template<typename Condition>
bool
SuspectRegistry::HasRival(const RequestContent& aContent,
                          const TargetDeath& aDeath,
                          Time aNow,
                          const Condition& aCondition) const
{
  const auto& lost = LostIn(aDeath);
  return std::any_of(lost.begin(), lost.end(), [&](std::uint64_t aOther) {
    return !Has(aContent, aOther) && !IsConvicted(aOther, aNow) &&
           !IsServedLately(aOther, aNow) && aCondition(RunsOf(aOther, aNow));
  });
}

} // namespace quetzalquay
