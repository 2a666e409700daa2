#include "core/TargetReach.h"

#include "core/NameTable.h"

#include <algorithm>
#include <utility>

namespace quetzalquay {

namespace {

using std::chrono::milliseconds;

// Age up to which a failure says that a target is not reached, and bytes that
// it is.
constexpr Duration kFailureLifetime = milliseconds(3000);
constexpr Duration kHeardLifetime = milliseconds(400);

// Time after a failure from which on bytes say something of the time after it.
// Those of a target that has died may arrive for a moment.
constexpr Duration kFailureMargin = milliseconds(30);

// Age up to which bytes from a target are told to other hosts.
constexpr Duration kMaxToldAge = milliseconds(5000);

// Number of failing targets that raise a suspicion, and of those among them
// that other hosts have to have heard: a share of the targets within limits.
constexpr int kNeededFailures = 2;
constexpr int kNeededContradictionShare = 6;
constexpr int kMaxNeededContradictions = 6;

// Hosts that are asked together, intervals between asks, and asks whose answers
// are taken.
constexpr std::size_t kAskedHosts = 4;
constexpr Duration kSuspectedAskInterval = milliseconds(120);
constexpr Duration kAskInterval = milliseconds(1000);
constexpr std::size_t kMaxAsks = 8;

// Hosts that have to agree before a suspicion is dropped early.
constexpr std::size_t kAgreeingHosts = 2;

// Time for which no new suspicion is raised after one was dropped.
constexpr Duration kDroppedTime = milliseconds(1000);

// Targets that are tried at once while the host is and may be cut off, the
// intervals while it may be and is, and the targets of which most have to
// accept connections for the cut to end. They double whenever a cut begins soon
// after the end of another.
constexpr std::size_t kTriedTargets = 2;
constexpr std::size_t kVerifiedTargets = 3;
constexpr Duration kSuspectedTryInterval = milliseconds(100);
constexpr Duration kTryInterval = milliseconds(500);
constexpr std::size_t kNeededTries = 4;

// Time for which a target is not tried again to confirm a cut. A try may last
// as long.
constexpr Duration kVerifyInterval = milliseconds(250);

constexpr Duration kRelapseTime = milliseconds(10000);
constexpr int kMaxRelapses = 4;

// Silence after a request from which on targets are tried. It doubles whenever
// they turn out to accept connections.
constexpr Duration kInitialSilence = milliseconds(400);
constexpr Duration kMaxSilence = milliseconds(1600);

// Time after the last request for which targets are expected to send bytes.
constexpr Duration kMaxAwaitTime = milliseconds(3000);

// Time after which a silent host is forgotten.
constexpr Duration kHostLifetime = milliseconds(30000);

// Time for which a host is not chosen after it has failed.
constexpr Duration kAvoidTime = milliseconds(1000);

// Counts more than the requests that any host may have: a host that has refused
// one is chosen last.
constexpr int kRefusalPenalty = 1000000;

// Most hosts that a log line describes.
constexpr std::size_t kDescribedHosts = 8;

// Requests passed on that weigh as much as another place.
constexpr int kOtherPlacePenalty = 3;

} // namespace

TargetReach::TargetReach(std::string aPlace, std::uint64_t aSeed)
  : mPlace(std::move(aPlace))
  , mRandom(aSeed)
{
}

void
TargetReach::Declare(
  const std::map<std::string, std::vector<std::string>>& aTargets)
{
  for (auto it = mServices.begin(); it != mServices.end();) {
    it = aTargets.count(it->first) == 0 ? mServices.erase(it) : std::next(it);
  }
  for (const auto& declared : aTargets) {
    Service& service = mServices[declared.first];
    std::map<std::string, Contact> contacts;
    for (const std::string& name : declared.second) {
      const auto known = service.mTargets.find(name);
      contacts[name] =
        known == service.mTargets.end() ? Contact() : known->second;
    }
    service.mTargets.swap(contacts);
  }
}

void
TargetReach::SetHosts(std::set<std::string> aHosts)
{
  mKnownHosts = std::move(aHosts);
}

void
TargetReach::SetCallback(std::function<void()> aCallback)
{
  mCallback = std::move(aCallback);
}

void
TargetReach::OnConnected(const std::string& aService,
                         const std::string& aTarget,
                         Time aNow)
{
  OnReached(aService, aTarget, aNow);
  if (Contact* contact = FindContact(aService, aTarget)) {
    contact->mConnectedAt = aNow;
    RecordTry(aService, aTarget, true, aNow);
  }
}

void
TargetReach::OnReached(const std::string& aService,
                       const std::string& aTarget,
                       Time aNow)
{
  if (Contact* contact = FindContact(aService, aTarget)) {
    contact->mHeardAt = aNow;
    mServices[aService].mAwaitedSince.reset();
  }
}

void
TargetReach::OnNotReached(const std::string& aService,
                          const std::string& aTarget,
                          Time aNow)
{
  if (Contact* contact = FindContact(aService, aTarget)) {
    OnFailure(aService, *contact, aNow);
    contact->mConnectFailedAt = aNow;
    RecordTry(aService, aTarget, false, aNow);
    Update(aService, mServices[aService], aNow);
  }
}

void
TargetReach::OnConnectionLost(const std::string& aService,
                              const std::string& aTarget,
                              Time aNow)
{
  if (Contact* contact = FindContact(aService, aTarget)) {
    OnFailure(aService, *contact, aNow);
    contact->mLostAt = aNow;
    Update(aService, mServices[aService], aNow);
  }
}

void
TargetReach::OnSent(const std::string& aService,
                    const std::string& aTarget,
                    Time aNow)
{
  if (Contact* contact = FindContact(aService, aTarget)) {
    contact->mSentAt = aNow;
    Service& service = mServices[aService];
    service.mSentAt = aNow;
    if (!service.mAwaitedSince) {
      service.mAwaitedSince = aNow;
      Notify();
    }
  }
}

bool
TargetReach::IsCutOff(const std::string& aService, Time) const
{
  return DecidedStateOf(aService) == ReachState::CutOff;
}

bool
TargetReach::IsSuspected(const std::string& aService, Time aNow) const
{
  const auto it = mServices.find(aService);
  if (it == mServices.end()) {
    return false;
  }
  const Service& service = it->second;
  return service.mState == ReachState::CutOff ||
         (service.mState == ReachState::Suspected &&
          aNow < SuspicionEnd(service, Evidence(service, aNow)));
}

ReachState
TargetReach::StateOf(const std::string& aService, Time aNow) const
{
  return IsSuspected(aService, aNow) ? DecidedStateOf(aService)
                                     : ReachState::Reached;
}

ReachState
TargetReach::DecidedStateOf(const std::string& aService) const
{
  const auto it = mServices.find(aService);
  return it == mServices.end() ? ReachState::Reached : it->second.mState;
}

ReachEvidence
TargetReach::EvidenceOf(const std::string& aService, Time aNow) const
{
  const auto it = mServices.find(aService);
  return it == mServices.end() ? ReachEvidence() : Evidence(it->second, aNow);
}

std::vector<std::string>
TargetReach::UnreachedServices(Time aNow) const
{
  std::vector<std::string> names;
  for (const auto& it : mServices) {
    if (StateOf(it.first, aNow) != ReachState::Reached) {
      names.push_back(it.first);
    }
  }
  return names;
}

int
TargetReach::CountCutOff() const
{
  return static_cast<int>(
    std::count_if(mServices.begin(), mServices.end(), [](const auto& aEntry) {
      return aEntry.second.mState == ReachState::CutOff;
    }));
}

Time
TargetReach::NextDue(Time aNow) const
{
  Time due = mChanges.empty() ? Time::max() : aNow;
  for (const auto& it : mServices) {
    const Service& service = it.second;
    due = std::min({ due, service.mNextAskAt, CheckDueAt(service) });
    if (service.mState == ReachState::Suspected) {
      due =
        std::min(due,
                 service.mDecideAt > aNow ? service.mDecideAt
                                          : service.mDecideAt + kSuspicionTime);
    }
    if (service.mState != ReachState::Reached) {
      due = std::min(due, service.mNextTryAt);
    }
  }
  return due == Time::max() ? due : std::max(due, aNow);
}

void
TargetReach::AdvanceTo(Time aNow)
{
  for (auto& it : mServices) {
    Update(it.first, it.second, aNow);
  }
}

std::vector<ReachAsk>
TargetReach::TakeAsks(Time aNow)
{
  std::vector<ReachAsk> asks;
  for (auto& it : mServices) {
    Service& service = it.second;
    if (aNow < service.mNextAskAt) {
      continue;
    }
    ReachAsk ask;
    ask.mService = it.first;
    ask.mId = mNextAsk++;
    ask.mHosts = ChooseHostsToAsk(it.first, aNow);
    for (const auto& target : service.mTargets) {
      if (service.mState == ReachState::CutOff ||
          IsFailing(target.second, aNow)) {
        ask.mTargets.push_back(target.first);
      }
    }
    if (ask.mTargets.empty()) {
      service.mNextAskAt = Time::max();
      continue;
    }
    std::shuffle(ask.mTargets.begin(), ask.mTargets.end(), mRandom);
    if (ask.mTargets.size() > kMaxAskedTargets) {
      ask.mTargets.resize(kMaxAskedTargets);
    }
    service.mAsks.emplace_back(ask.mId, aNow);
    if (service.mAsks.size() > kMaxAsks) {
      service.mAsks.pop_front();
    }
    service.mNextAskAt =
      aNow + (service.mState == ReachState::Suspected ? kSuspectedAskInterval
                                                      : kAskInterval);
    asks.push_back(std::move(ask));
  }
  return asks;
}

std::vector<TargetReach::Try>
TargetReach::TakeTries(Time aNow)
{
  std::vector<Try> tries;
  for (auto& it : mServices) {
    Service& service = it.second;
    if (service.mState == ReachState::Suspected) {
      if (aNow >= service.mNextTryAt) {
        service.mNextTryAt = aNow + kSuspectedTryInterval;
        for (std::string& target : TargetsToVerify(service, aNow)) {
          service.mTargets[target].mTriedAt = aNow;
          tries.push_back({ it.first, std::move(target) });
        }
      }
    } else if (service.mState == ReachState::CutOff) {
      if (aNow < service.mNextTryAt) {
        continue;
      }
      service.mNextTryAt = aNow + kTryInterval;
      auto target = service.mTargets.upper_bound(service.mLastTried);
      const std::size_t count =
        std::min(kTriedTargets, service.mTargets.size());
      for (std::size_t n = 0; n < count; ++n) {
        if (target == service.mTargets.end()) {
          target = service.mTargets.begin();
        }
        tries.push_back({ it.first, target->first });
        service.mLastTried = target->first;
        ++target;
      }
    } else if (aNow >= CheckDueAt(service)) {
      if (aNow - service.mSentAt >= kMaxAwaitTime) {
        service.mAwaitedSince.reset();
        continue;
      }
      service.mCheckedAt = aNow;
      service.mChecking = true;
      std::vector<std::pair<Time, std::string>> sent;
      for (const auto& target : service.mTargets) {
        if (target.second.mSentAt >= *service.mAwaitedSince) {
          sent.emplace_back(target.second.mSentAt, target.first);
        }
      }
      std::sort(sent.begin(), sent.end());
      for (std::size_t n = 0; n < std::min(kTriedTargets, sent.size()); ++n) {
        tries.push_back({ it.first, sent[n].second });
      }
    }
  }
  return tries;
}

std::vector<ReachChange>
TargetReach::TakeChanges()
{
  return std::exchange(mChanges, {});
}

ReachAnswer
TargetReach::Answer(const std::string& aService,
                    std::uint64_t aAsk,
                    const std::vector<std::string>& aTargets,
                    Time aNow) const
{
  ReachAnswer answer;
  answer.mService = aService;
  answer.mAsk = aAsk;
  answer.mState = StateOf(aService, aNow);
  const auto service = mServices.find(aService);
  if (service == mServices.end()) {
    return answer;
  }
  for (const std::string& it : aTargets) {
    const auto contact = service->second.mTargets.find(it);
    if (contact == service->second.mTargets.end() ||
        answer.mHeard.size() + answer.mFailing.size() >= kMaxAskedTargets) {
      continue;
    }
    const Time heardAt = contact->second.mHeardAt;
    if (IsFailing(contact->second, aNow)) {
      if (MayTellFailure(service->second, contact->second, aNow)) {
        answer.mFailing.push_back(it);
      }
    } else if (heardAt != Time() && aNow - heardAt <= kMaxToldAge) {
      answer.mHeard.emplace_back(
        it, std::chrono::duration_cast<Duration>(aNow - heardAt));
    }
  }
  return answer;
}

int
TargetReach::OnAnswer(const ReachAnswer& aAnswer, Time aNow)
{
  Service* service = FindService(aAnswer.mService);
  if (service == nullptr) {
    return 0;
  }
  const auto ask =
    std::find_if(service->mAsks.begin(),
                 service->mAsks.end(),
                 [&](const auto& aAsk) { return aAsk.first == aAnswer.mAsk; });
  if (ask == service->mAsks.end()) {
    return 0;
  }
  int contradictions = 0;
  for (const auto& it : aAnswer.mHeard) {
    Contact* contact = FindContact(aAnswer.mService, it.first);
    if (contact == nullptr || !IsFailing(*contact, aNow)) {
      continue;
    }
    // The answer was given later than the ask, so the target was heard at this
    // time or later.
    const Time heardAt = ask->second - it.second;
    if (heardAt >= contact->mFailingSince + kFailureMargin) {
      contact->mHeardElsewhereAt =
        std::min(contact->mHeardElsewhereAt.value_or(heardAt), heardAt);
      ++contradictions;
    }
  }
  service->mAnswered.insert(aAnswer.mHost);
  const auto failsHere = [&](const std::string& aTarget) {
    const Contact* contact = FindContact(aAnswer.mService, aTarget);
    return contact != nullptr && IsFailing(*contact, aNow);
  };
  const auto common =
    std::count_if(aAnswer.mFailing.begin(), aAnswer.mFailing.end(), failsHere);
  const int failing = Evidence(*service, aNow).mFailing;
  if (contradictions == 0 && common > 0 && 2 * common >= failing &&
      aAnswer.mState == ReachState::Reached) {
    service->mAgreeing.insert(aAnswer.mHost);
  }
  Update(aAnswer.mService, *service, aNow);
  return contradictions;
}

void
TargetReach::OnHostHeard(const std::string& aHost,
                         const std::string& aPlace,
                         Time aNow)
{
  const bool isNew = mHosts.count(aHost) == 0;
  Host& host = mHosts[aHost];
  host.mPlace = aPlace;
  host.mHeardAt = aNow;
  for (auto it = mHosts.begin(); isNew && it != mHosts.end();) {
    const bool silent = aNow - it->second.mHeardAt >= kHostLifetime;
    it = silent && it->second.mPassedOn == 0 ? mHosts.erase(it) : std::next(it);
  }
}

void
TargetReach::OnHostUnreached(const std::string& aHost,
                             std::set<std::string> aServices)
{
  const auto host = mHosts.find(aHost);
  if (host != mHosts.end()) {
    host->second.mUnreached = std::move(aServices);
  }
}

TargetReach::HostBar
TargetReach::BarOf(const std::string& aName,
                   const Host& aHost,
                   const std::string& aService,
                   Time aNow) const
{
  if (aNow - aHost.mHeardAt > kHostFreshness) {
    return HostBar::Silent;
  }
  if (aNow < aHost.mAvoidedUntil) {
    return HostBar::Failed;
  }
  if (aHost.mUnreached.count(aService) != 0) {
    return HostBar::Unreached;
  }
  return mHasAddress && !mHasAddress(aName, aNow) ? HostBar::NoAddress
                                                  : HostBar::None;
}

std::string
TargetReach::DescribeHosts(const std::string& aService, Time aNow) const
{
  constexpr NameTable<HostBar, 5> kNames(
    { "ready", "silent", "failed", "unreached", "no_address" });
  std::string text;
  std::size_t n = 0;
  for (const auto& it : mHosts) {
    if (n++ == kDescribedHosts) {
      break;
    }
    text += text.empty() ? "" : " ";
    text += it.first + "=";
    text += kNames.NameOf(BarOf(it.first, it.second, aService, aNow));
  }
  return text;
}

std::optional<std::string>
TargetReach::ChooseHost(const std::string& aService,
                        const std::vector<std::string>& aTried,
                        Time aNow,
                        HostChoice aChoice)
{
  std::vector<std::string> best;
  int lowest = 0;
  for (const auto& it : mHosts) {
    const Host& host = it.second;
    if (BarOf(it.first, host, aService, aNow) != HostBar::None ||
        std::find(aTried.begin(), aTried.end(), it.first) != aTried.end()) {
      continue;
    }
    const bool refuses = aNow < host.mRefusesUntil;
    if (refuses && aChoice == HostChoice::Willing) {
      continue;
    }
    const int cost = host.mPassedOn +
                     (host.mPlace == mPlace ? 0 : kOtherPlacePenalty) +
                     (refuses ? kRefusalPenalty : 0);
    if (best.empty() || cost < lowest) {
      best.clear();
      lowest = cost;
    }
    if (cost == lowest) {
      best.push_back(it.first);
    }
  }
  if (best.empty()) {
    return std::nullopt;
  }
  return best[mRandom() % best.size()];
}

void
TargetReach::OnPassedOn(const std::string& aHost)
{
  const auto host = mHosts.find(aHost);
  if (host != mHosts.end()) {
    ++host->second.mPassedOn;
  }
}

void
TargetReach::OnPassedOnEnded(const std::string& aHost)
{
  const auto host = mHosts.find(aHost);
  if (host != mHosts.end()) {
    host->second.mPassedOn = std::max(0, host->second.mPassedOn - 1);
  }
}

void
TargetReach::OnHostFailed(const std::string& aHost, Time aNow)
{
  const auto host = mHosts.find(aHost);
  if (host != mHosts.end()) {
    host->second.mAvoidedUntil = aNow + kAvoidTime;
  }
}

void
TargetReach::OnHostRefused(const std::string& aHost, Time aNow)
{
  const auto host = mHosts.find(aHost);
  if (host != mHosts.end()) {
    host->second.mRefusesUntil = aNow + kAvoidTime;
  }
}

TargetReach::Service*
TargetReach::FindService(const std::string& aService)
{
  const auto it = mServices.find(aService);
  return it == mServices.end() ? nullptr : &it->second;
}

TargetReach::Contact*
TargetReach::FindContact(const std::string& aService,
                         const std::string& aTarget)
{
  Service* service = FindService(aService);
  if (service == nullptr) {
    return nullptr;
  }
  const auto it = service->mTargets.find(aTarget);
  return it == service->mTargets.end() ? nullptr : &it->second;
}

// Bytes on open connections do not show that new ones are accepted.
bool
TargetReach::IsFailing(const Contact& aContact, Time aNow)
{
  const bool refuses = aContact.mConnectFailedAt > aContact.mConnectedAt &&
                       aNow - aContact.mConnectFailedAt < kFailureLifetime;
  const bool lost = aContact.mLostAt > aContact.mHeardAt &&
                    aNow - aContact.mLostAt < kFailureLifetime;
  return refuses || lost;
}

Time
TargetReach::LastFailureOf(const Contact& aContact)
{
  return std::max(aContact.mConnectFailedAt, aContact.mLostAt);
}

// Whether the failure of a target is not due to a cut of this host, as it has
// reached another target of the service since. Bytes on open connections show
// that only if those to the failing target were lost.
bool
TargetReach::MayTellFailure(const Service& aService,
                            const Contact& aFailing,
                            Time aNow) const
{
  const bool lost = aFailing.mLostAt > aFailing.mHeardAt &&
                    aNow - aFailing.mLostAt < kFailureLifetime;
  const Time since = LastFailureOf(aFailing) + kFailureMargin;
  return UnreachedServices(aNow).empty() &&
         std::any_of(aService.mTargets.begin(),
                     aService.mTargets.end(),
                     [&](const auto& aEntry) {
                       const Contact& other = aEntry.second;
                       const Time reachedAt =
                         lost ? other.mHeardAt : other.mConnectedAt;
                       return !IsFailing(other, aNow) && reachedAt >= since;
                     });
}

// Whether another host has heard a target between two failures here.
bool
TargetReach::IsContradicted(const Contact& aContact, Time aNow)
{
  return IsFailing(aContact, aNow) && aContact.mHeardElsewhereAt &&
         *aContact.mHeardElsewhereAt <= LastFailureOf(aContact);
}

ReachEvidence
TargetReach::Evidence(const Service& aService, Time aNow)
{
  ReachEvidence evidence;
  evidence.mTargets = static_cast<int>(aService.mTargets.size());
  Time since = Time::max();
  for (const auto& it : aService.mTargets) {
    const Contact& contact = it.second;
    if (IsFailing(contact, aNow)) {
      ++evidence.mFailing;
      if (IsContradicted(contact, aNow)) {
        ++evidence.mContradicted;
        since = std::min(since, contact.mFailingSince);
      }
    } else if (contact.mHeardAt != Time() &&
               aNow - contact.mHeardAt < kHeardLifetime) {
      ++evidence.mHeard;
    }
  }
  for (const auto& it : aService.mTargets) {
    if (since != Time::max() && !IsFailing(it.second, aNow) &&
        it.second.mHeardAt >= since + kFailureMargin) {
      ++evidence.mHeardSince;
    }
  }
  return evidence;
}

// A host that is cut off from the targets of one service is probably cut off
// from those of others.
int
TargetReach::NeededFailures(const Service& aService) const
{
  const int count = static_cast<int>(aService.mTargets.size());
  return CountCutOff() > 0 ? 1 : std::min(kNeededFailures, count);
}

int
TargetReach::NeededContradictions(const Service& aService) const
{
  const int share =
    static_cast<int>(aService.mTargets.size()) / kNeededContradictionShare;
  return std::max(NeededFailures(aService),
                  std::min(share, kMaxNeededContradictions));
}

// Chooses random hosts, first among those that may reach the service.
std::vector<std::string>
TargetReach::ChooseHostsToAsk(const std::string& aService, Time aNow)
{
  std::set<std::string> names = mKnownHosts;
  for (const auto& it : mHosts) {
    if (aNow - it.second.mHeardAt < kHostLifetime) {
      names.insert(it.first);
    }
  }
  std::vector<std::string> hosts(names.begin(), names.end());
  std::shuffle(hosts.begin(), hosts.end(), mRandom);
  std::stable_partition(
    hosts.begin(), hosts.end(), [&](const std::string& aHost) {
      const auto host = mHosts.find(aHost);
      return host == mHosts.end() ||
             host->second.mUnreached.count(aService) == 0;
    });
  hosts.resize(std::min(hosts.size(), kAskedHosts));
  return hosts;
}

// Targets to try while a cut is suspected: failing ones that another host has
// heard, then those of which nothing is known since the failures began.
std::vector<std::string>
TargetReach::TargetsToVerify(const Service& aService, Time aNow)
{
  std::vector<std::string> heard;
  std::vector<std::string> unknown;
  for (const auto& it : aService.mTargets) {
    const Contact& contact = it.second;
    if (contact.mTriedAt != Time() &&
        aNow - contact.mTriedAt < kVerifyInterval) {
      continue;
    }
    if (IsFailing(contact, aNow)) {
      if (contact.mHeardElsewhereAt && !IsContradicted(contact, aNow)) {
        heard.push_back(it.first);
      }
    } else if (aNow - contact.mHeardAt >= kHeardLifetime) {
      unknown.push_back(it.first);
    }
  }
  heard.insert(heard.end(), unknown.begin(), unknown.end());
  heard.resize(std::min(heard.size(), kVerifiedTargets));
  return heard;
}

void
TargetReach::OnFailure(const std::string& aService,
                       Contact& aContact,
                       Time aNow)
{
  Service& service = mServices[aService];
  if (Evidence(service, aNow).mFailing == 0) {
    service.mAnswered.clear();
  }
  if (!IsFailing(aContact, aNow)) {
    aContact.mFailingSince = aNow;
    aContact.mHeardElsewhereAt.reset();
    service.mAgreeing.clear();
  }
}

void
TargetReach::Update(const std::string& aName, Service& aService, Time aNow)
{
  if (aService.mState == ReachState::CutOff) {
    return;
  }
  const ReachEvidence evidence = Evidence(aService, aNow);
  const int needed = NeededFailures(aService);
  if (needed > 0 && evidence.mContradicted >= NeededContradictions(aService) &&
      evidence.mContradicted >= 2 * evidence.mHeardSince) {
    SetState(aName, aService, ReachState::CutOff, aNow);
    return;
  }
  const bool widespread = needed > 0 && evidence.mFailing >= needed &&
                          evidence.mFailing > evidence.mHeard &&
                          HasOtherHosts(aNow);
  if (aService.mState == ReachState::Reached) {
    if (widespread && aNow >= aService.mDroppedUntil) {
      SetState(aName, aService, ReachState::Suspected, aNow);
    } else if (!widespread) {
      aService.mNextAskAt = Time::max();
    }
    return;
  }
  if (!widespread) {
    SetState(aName, aService, ReachState::Reached, aNow);
    return;
  }
  const std::size_t agreeing =
    std::min(kAgreeingHosts, std::max<std::size_t>(1, mKnownHosts.size()));
  if (aNow >= SuspicionEnd(aService, evidence) ||
      aService.mAgreeing.size() >= agreeing) {
    aService.mDroppedUntil = aNow + kDroppedTime;
    SetState(aName, aService, ReachState::Reached, aNow);
  }
}

// When a suspicion is dropped unless it is confirmed. Contradictions come one
// after the other.
Time
TargetReach::SuspicionEnd(const Service& aService,
                          const ReachEvidence& aEvidence)
{
  return aEvidence.mContradicted > 0 ? aService.mDecideAt + kSuspicionTime
                                     : aService.mDecideAt;
}

void
TargetReach::SetState(const std::string& aName,
                      Service& aService,
                      ReachState aState,
                      Time aNow)
{
  Time since = aNow;
  for (const auto& it : aService.mTargets) {
    if (IsFailing(it.second, aNow)) {
      since = std::min(since, it.second.mFailingSince);
    }
  }
  mChanges.push_back({ aName,
                       aService.mState,
                       aState,
                       Evidence(aService, aNow),
                       std::chrono::duration_cast<Duration>(aNow - since),
                       static_cast<int>(aService.mAnswered.size()) });
  aService.mState = aState;
  if (aState == ReachState::Suspected) {
    aService.mDecideAt = aNow + kSuspicionTime;
    aService.mNextAskAt =
      aService.mAsks.empty()
        ? aNow
        : std::max(aNow, aService.mAsks.back().second + kSuspectedAskInterval);
    aService.mNextTryAt = aNow + kSuspectedTryInterval;
  } else if (aState == ReachState::CutOff) {
    const bool relapse =
      aService.mEndedAt != Time() && aNow - aService.mEndedAt < kRelapseTime;
    aService.mRelapses =
      relapse ? std::min(aService.mRelapses + 1, kMaxRelapses) : 0;
    aService.mTries.clear();
    aService.mNextTryAt = aNow + kTryInterval;
    aService.mNextAskAt = aNow;
  }
  Notify();
}

// Forgets all failures, as most of them are due to the cut.
void
TargetReach::EndCut(const std::string& aName, Service& aService, Time aNow)
{
  SetState(aName, aService, ReachState::Reached, aNow);
  aService.mEndedAt = aNow;
  aService.mNextAskAt = Time::max();
  aService.mAnswered.clear();
  aService.mAgreeing.clear();
  aService.mAwaitedSince.reset();
  aService.mSilence = Duration::zero();
  for (auto& it : aService.mTargets) {
    it.second.mConnectFailedAt = Time();
    it.second.mLostAt = Time();
  }
}

void
TargetReach::RecordTry(const std::string& aService,
                       const std::string& aTarget,
                       bool aReached,
                       Time aNow)
{
  Service& service = mServices[aService];
  if (service.mState != ReachState::CutOff) {
    // A silent target that accepts connections is slow.
    if (aReached && std::exchange(service.mChecking, false)) {
      service.mSilence =
        std::min(kMaxSilence, 2 * std::max(service.mSilence, kInitialSilence));
    }
    return;
  }
  auto& tries = service.mTries;
  const auto known =
    std::find_if(tries.begin(), tries.end(), [&](const auto& aTry) {
      return aTry.first == aTarget;
    });
  if (known != tries.end()) {
    tries.erase(known);
  }
  tries.emplace_back(aTarget, aReached);
  const std::size_t needed = NeededTries(service);
  while (tries.size() > needed) {
    tries.pop_front();
  }
  const auto reached = std::count_if(
    tries.begin(), tries.end(), [](const auto& aTry) { return aTry.second; });
  if (tries.size() == needed &&
      2 * static_cast<std::size_t>(reached) > needed) {
    EndCut(aService, service, aNow);
  }
}

std::size_t
TargetReach::NeededTries(const Service& aService)
{
  return std::min(aService.mTargets.size(),
                  kNeededTries << static_cast<unsigned>(aService.mRelapses));
}

bool
TargetReach::HasOtherHosts(Time aNow) const
{
  return !mKnownHosts.empty() ||
         std::any_of(mHosts.begin(), mHosts.end(), [&](const auto& aEntry) {
           return aNow - aEntry.second.mHeardAt <= kHostFreshness;
         });
}

// When targets are tried because none has sent anything since a request.
Time
TargetReach::CheckDueAt(const Service& aService) const
{
  const Duration silence = std::max(aService.mSilence, kInitialSilence);
  if (aService.mState != ReachState::Reached || !aService.mAwaitedSince) {
    return Time::max();
  }
  return std::max(*aService.mAwaitedSince, aService.mCheckedAt) + silence;
}

void
TargetReach::Notify() const
{
  if (mCallback) {
    mCallback();
  }
}

} // namespace quetzalquay
