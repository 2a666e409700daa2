#include "core/TargetRoom.h"

#include "core/Hash.h"

#include <algorithm>
#include <utility>

namespace quetzalquay {

namespace {

using std::chrono::milliseconds;

// Time for which a target without room is passed over.
constexpr Duration kDeniedTime = milliseconds(10);

// Time for which a target is passed over whose keeper has not been agreed on.
constexpr Duration kNotKeeperTime = milliseconds(20);

// Time for which it is told that a target has ceased to be brittle.
constexpr Duration kLiftedLifetime = milliseconds(3000);

// How often a change is told again soon, as messages may be lost, and when.
constexpr int kFirstRepeats = 2;
constexpr Duration kFirstRepeatInterval = milliseconds(25);

// Hosts that may be the keeper of a target, one after the other.
constexpr std::size_t kKeepers = 2;

// Silence of all other hosts after which this one keeps no target's room, as it
// may be the one that is cut off.
constexpr Duration kAloneAfter = milliseconds(2500);

// Silence after which a host that is not listed shares the room no more. In a
// large fleet each host is heard only every ten seconds or so.
constexpr Duration kUnlistedLifetime = std::chrono::seconds(30);

// A host that was heard so lately keeps its targets' room, even if others say
// that it does not answer them.
constexpr Duration kHeardTime = milliseconds(300);

// Time without asks after which a host that has taken over a target's room
// knows no more what is under way.
constexpr Duration kTakeOverLifetime = milliseconds(1000);

} // namespace

void
TargetRoom::SetHosts(const std::set<std::string>& aHosts)
{
  mListed = aHosts;
  mListed.insert(mHost);
  mHostsUntil = Time::min();
  for (auto it = mHeard.begin(); it != mHeard.end();) {
    const bool known =
      mListed.count(it->first) != 0 || mHeardAt - it->second < kAloneAfter;
    it = known ? std::next(it) : mHeard.erase(it);
  }
}

void
TargetRoom::OnHostHeard(const std::string& aHost, Time aNow)
{
  mHeard[aHost] = aNow;
  mHeardAt = aNow;
  if (mListed.count(aHost) == 0) {
    mHostsUntil = std::min(mHostsUntil, aNow + kUnlistedLifetime);
    if (mHosts.insert(aHost).second) {
      mKeepers.clear();
    }
  }
}

// Hosts that share the room: those that are listed, and others that were heard
// lately, as they may not be listed yet.
const std::set<std::string>&
TargetRoom::HostsAt(Time aNow) const
{
  if (aNow < mHostsUntil) {
    return mHosts;
  }
  std::set<std::string> hosts = mListed;
  mHostsUntil = Time::max();
  for (const auto& it : mHeard) {
    if (mListed.count(it.first) == 0 && aNow - it.second < kUnlistedLifetime) {
      hosts.insert(it.first);
      mHostsUntil = std::min(mHostsUntil, it.second + kUnlistedLifetime);
    }
  }
  if (hosts != mHosts) {
    mHosts = std::move(hosts);
    mKeepers.clear();
  }
  return mHosts;
}

bool
TargetRoom::IsBrittleItself(const std::string& aTarget) const
{
  const auto report = mReports.find(aTarget);
  return report != mReports.end() && report->second.mRejections.has_value();
}

bool
TargetRoom::OnReport(const BrittleReport& aReport)
{
  const auto known = mReports.find(aReport.mTarget);
  const bool sibling = mBrittleByService.count(aReport.mService) != 0;
  if (known == mReports.end() && !aReport.mRejections && !sibling) {
    return false;
  }
  if (known != mReports.end() && aReport.mSaidAt <= known->second.mSaidAt) {
    return false;
  }
  const bool was = IsBrittleItself(aReport.mTarget);
  const bool changed = known == mReports.end()
                         ? aReport.mRejections.has_value()
                         : known->second.mRejections != aReport.mRejections;
  mReports[aReport.mTarget] = aReport;
  if (!was && aReport.mRejections) {
    ++mBrittleByService[aReport.mService];
    // What is under way already counts for the target's keeper.
    TellSoon(mAccounts[aReport.mTarget]);
  } else if (was && !aReport.mRejections) {
    if (--mBrittleByService[aReport.mService] == 0) {
      mBrittleByService.erase(aReport.mService);
    }
    mAccounts.erase(aReport.mTarget);
    mKeeper.Forget(aReport.mTarget);
  }
  return changed;
}

bool
TargetRoom::IsBrittle(const std::string& aTarget,
                      const std::string& aService) const
{
  if (mBrittleByService.empty()) {
    return false;
  }
  const auto report = mReports.find(aTarget);
  return report != mReports.end() ? report->second.mRejections.has_value()
                                  : mBrittleByService.count(aService) != 0;
}

std::optional<int>
TargetRoom::RejectionsOf(const std::string& aTarget,
                         const std::string& aService) const
{
  if (!IsBrittle(aTarget, aService)) {
    return std::nullopt;
  }
  const auto report = mReports.find(aTarget);
  if (report != mReports.end()) {
    return report->second.mRejections;
  }
  std::optional<int> least;
  for (const auto& it : mReports) {
    const auto& rejections = it.second.mRejections;
    if (rejections && it.second.mService == aService) {
      least = std::min(least.value_or(*rejections), *rejections);
    }
  }
  return least;
}

std::size_t
TargetRoom::Count() const
{
  std::size_t count = 0;
  for (const auto& it : mBrittleByService) {
    count += static_cast<std::size_t>(it.second);
  }
  return count;
}

bool
TargetRoom::IsDenied(const std::string& aTarget, Time aNow) const
{
  const auto account = mAccounts.find(aTarget);
  return account != mAccounts.end() && aNow < account->second.mDeniedUntil;
}

std::string
TargetRoom::TargetOf(const std::string& aRequestId) const
{
  const auto ask = mAsks.find(aRequestId);
  return ask == mAsks.end() ? std::string() : ask->second.mTarget;
}

RoomStatus
TargetRoom::Take(const std::string& aRequestId,
                 const std::string& aTarget,
                 const RoomUse& aUse,
                 Time aNow)
{
  auto ask = mAsks.find(aRequestId);
  if (ask != mAsks.end() && ask->second.mTarget != aTarget) {
    Cancel(aRequestId);
    ask = mAsks.end();
  }
  if (ask != mAsks.end()) {
    return TakeAnswer(ask, aUse, aNow);
  }
  const auto keeper = KeeperOf(aTarget, aNow);
  if (!keeper) {
    return TakeShare(aTarget, aUse, aNow);
  }
  Ask added;
  added.mTarget = aTarget;
  added.mKeeper = *keeper;
  added.mId = ++mLastAsk;
  added.mRepeatAt = aNow + kAnswerTime;
  ask = mAsks.emplace(aRequestId, std::move(added)).first;
  if (*keeper == mHost) {
    if (AskOwn(ask->second, aUse, aNow) == RoomAnswer::Granted) {
      mAsks.erase(ask);
      return RoomStatus::Granted;
    }
    return RoomStatus::Pending;
  }
  ask->second.mSend = true;
  TellSoon(mAccounts[aTarget]);
  return RoomStatus::Pending;
}

// Asks this host as the keeper.
RoomAnswer
TargetRoom::AskOwn(Ask& aAsk, const RoomUse& aUse, Time aNow)
{
  RoomMessage message =
    MessageOf(aAsk.mTarget, mAccounts[aAsk.mTarget], aUse.mUnderWay);
  message.mAsk = aAsk.mId;
  aAsk.mAnswer = mKeeper.OnMessage(
    mHost, message, aUse.mLimits, GrantsFrom(aAsk.mTarget, aNow), aNow);
  return *aAsk.mAnswer;
}

// Takes what has been granted, or repeats the ask when it is due.
RoomStatus
TargetRoom::TakeAnswer(std::map<std::string, Ask>::iterator aAsk,
                       const RoomUse& aUse,
                       Time aNow)
{
  Ask& ask = aAsk->second;
  if (ask.mAnswer == RoomAnswer::Granted) {
    --mAccounts[ask.mTarget].mGranted;
    mAsks.erase(aAsk);
    return RoomStatus::Granted;
  }
  if (ask.mAnswer == RoomAnswer::NotKeeper) {
    // The host has heard the keeper lately, and takes over if that is gone.
    mAccounts[ask.mTarget].mDeniedUntil = aNow + kNotKeeperTime;
    const auto& keepers = KeepersOf(ask.mTarget, aNow);
    if (!keepers.empty()) {
      mAvoided.erase(keepers.front());
    }
    mAsks.erase(aAsk);
    return RoomStatus::Denied;
  }
  if (aNow < ask.mRepeatAt) {
    return RoomStatus::Pending;
  }
  if (ask.mKeeper == mHost) {
    ask.mRepeatAt = aNow + kAnswerTime;
    if (AskOwn(ask, aUse, aNow) == RoomAnswer::Granted) {
      mAsks.erase(aAsk);
      return RoomStatus::Granted;
    }
    return RoomStatus::Pending;
  }
  if (++ask.mUnanswered >= kMaxAsks) {
    return GiveUp(aAsk, aUse, aNow);
  }
  ask.mSend = true;
  ask.mRepeatAt = aNow + kAnswerTime;
  TellSoon(mAccounts[ask.mTarget]);
  return RoomStatus::Pending;
}

// Passes a keeper over for a while, and decides without it.
RoomStatus
TargetRoom::GiveUp(std::map<std::string, Ask>::iterator aAsk,
                   const RoomUse& aUse,
                   Time aNow)
{
  const std::string target = aAsk->second.mTarget;
  mAvoided[aAsk->second.mKeeper] = aNow + kAvoidTime;
  mAsks.erase(aAsk);
  return TakeShare(target, aUse, aNow);
}

// From when this host grants the room of a target.
Time
TargetRoom::GrantsFrom(const std::string& aTarget, Time aNow)
{
  const auto& keepers = KeepersOf(aTarget, aNow);
  if (keepers.empty() || keepers.front() == mHost) {
    return Time::min();
  }
  TakeOver& takeOver = mTakeOvers[aTarget];
  if (aNow - takeOver.mUsedAt >= kTakeOverLifetime) {
    takeOver.mSince = aNow;
  }
  takeOver.mUsedAt = aNow;
  return takeOver.mSince + kTakeOverTime;
}

// Whether this host grants the room of a target that another host asks for.
bool
TargetRoom::IsKeeperFor(const std::string& aTarget, Time aNow) const
{
  for (const std::string& it : KeepersOf(aTarget, aNow)) {
    if (it == mHost) {
      return true;
    }
    const auto heard = mHeard.find(it);
    if (heard != mHeard.end() && aNow - heard->second < kHeardTime) {
      return false;
    }
  }
  return false;
}

// Decides by an even share of the slots, as no keeper answers. What cannot be
// divided goes to hosts picked by a hash.
RoomStatus
TargetRoom::TakeShare(const std::string& aTarget,
                      const RoomUse& aUse,
                      Time aNow)
{
  const int slots = aUse.mLimits.mSlots;
  const auto& known = HostsAt(aNow);
  const auto hosts = static_cast<int>(std::max<std::size_t>(1, known.size()));
  const std::uint64_t target = StableHash(aTarget);
  const std::uint64_t own = StableHash(mHost, target);
  const auto before = static_cast<int>(
    std::count_if(known.begin(), known.end(), [&](const std::string& aHost) {
      return StableHash(aHost, target) < own;
    }));
  const int share = slots / hosts + (before < slots % hosts ? 1 : 0);
  Account& account = mAccounts[aTarget];
  if (aUse.mUnderWay < share && aNow >= account.mNoShareUntil) {
    return RoomStatus::Granted;
  }
  account.mDeniedUntil = aNow + kDeniedTime;
  return RoomStatus::Denied;
}

void
TargetRoom::Cancel(const std::string& aRequestId)
{
  const auto ask = mAsks.find(aRequestId);
  if (ask == mAsks.end()) {
    return;
  }
  const auto account = mAccounts.find(ask->second.mTarget);
  if (account != mAccounts.end()) {
    account->second.mGranted -=
      ask->second.mAnswer == RoomAnswer::Granted ? 1 : 0;
    // The keeper learns of it once the ask is gone.
    TellSoon(account->second);
  }
  mAsks.erase(ask);
}

void
TargetRoom::OnEnded(const std::string& aTarget)
{
  const auto account = mAccounts.find(aTarget);
  if (account != mAccounts.end()) {
    TellSoon(account->second);
  }
}

void
TargetRoom::OnRejected(const std::string& aTarget, Time aNow)
{
  const auto account = mAccounts.find(aTarget);
  if (account == mAccounts.end()) {
    return;
  }
  ++account->second.mRejected;
  const auto report = mReports.find(aTarget);
  const int rejections =
    report == mReports.end() ? 1 : report->second.mRejections.value_or(1);
  account->second.mNoShareUntil =
    aNow + milliseconds(1000) * static_cast<int>(HostsAt(aNow).size()) /
             std::max(1, rejections);
  TellSoon(account->second);
}

RoomMessage
TargetRoom::MessageOf(const std::string& aTarget,
                      const Account& aAccount,
                      int aUnderWay)
{
  RoomMessage message;
  message.mTarget = aTarget;
  message.mNumber = ++mLastMessage;
  message.mResolved = mLastAsk;
  for (const auto& it : mAsks) {
    if (it.second.mTarget == aTarget &&
        it.second.mAnswer != RoomAnswer::Granted) {
      message.mResolved = std::min(message.mResolved, it.second.mId - 1);
    }
  }
  message.mUnderWay = aUnderWay + aAccount.mGranted;
  message.mRejected = aAccount.mRejected;
  return message;
}

std::vector<std::pair<std::string, RoomMessage>>
TargetRoom::TakeMessages(
  const std::function<RoomUse(const std::string&)>& aUseOf,
  Time aNow)
{
  std::vector<std::pair<std::string, RoomMessage>> messages;
  mNextMessageAt = Time::max();
  for (auto& it : mAccounts) {
    Account& account = it.second;
    if (!account.mChanged && aNow < account.mRepeatAt) {
      mNextMessageAt = std::min(mNextMessageAt, account.mRepeatAt);
      continue;
    }
    account.mRepeats = account.mChanged ? 0 : account.mRepeats + 1;
    account.mChanged = false;
    const RoomUse use = aUseOf(it.first);
    const bool idle = use.mUnderWay + account.mGranted == 0;
    account.mRepeatAt = account.mRepeats < kFirstRepeats
                          ? aNow + kFirstRepeatInterval
                        : idle ? Time::max()
                               : aNow + kRepeatInterval;
    mNextMessageAt = std::min(mNextMessageAt, account.mRepeatAt);
    const auto keeper = KeeperOf(it.first, aNow);
    const RoomMessage message = MessageOf(it.first, account, use.mUnderWay);
    if (keeper == mHost) {
      mKeeper.OnMessage(
        mHost, message, use.mLimits, GrantsFrom(it.first, aNow), aNow);
    } else if (keeper) {
      messages.emplace_back(*keeper, message);
    }
  }
  for (auto& it : mAsks) {
    Ask& ask = it.second;
    if (std::exchange(ask.mSend, false)) {
      RoomMessage message = MessageOf(
        ask.mTarget, mAccounts[ask.mTarget], aUseOf(ask.mTarget).mUnderWay);
      message.mAsk = ask.mId;
      messages.emplace_back(ask.mKeeper, message);
    }
  }
  return messages;
}

std::optional<RoomAnswer>
TargetRoom::OnMessage(const std::string& aHost,
                      const RoomMessage& aMessage,
                      const RoomLimits& aLimits,
                      Time aNow)
{
  if (!IsKeeperFor(aMessage.mTarget, aNow)) {
    return aMessage.mAsk == 0 ? std::nullopt
                              : std::make_optional(RoomAnswer::NotKeeper);
  }
  const RoomAnswer answer = mKeeper.OnMessage(
    aHost, aMessage, aLimits, GrantsFrom(aMessage.mTarget, aNow), aNow);
  return aMessage.mAsk == 0 ? std::nullopt : std::make_optional(answer);
}

std::vector<RoomGrant>
TargetRoom::TakeGrants(Time aNow)
{
  std::vector<RoomGrant> grants;
  for (RoomGrant& it : mKeeper.TakeGrants()) {
    if (it.mHost == mHost) {
      OnAnswer(it.mTarget, it.mAsk, RoomAnswer::Granted, aNow);
    } else {
      grants.push_back(std::move(it));
    }
  }
  return grants;
}

void
TargetRoom::OnAnswer(const std::string& aTarget,
                     std::uint64_t aAsk,
                     RoomAnswer aAnswer,
                     Time aNow)
{
  const auto account = mAccounts.find(aTarget);
  if (account == mAccounts.end()) {
    return;
  }
  const auto found =
    std::find_if(mAsks.begin(), mAsks.end(), [&](const auto& aEntry) {
      return aEntry.second.mId == aAsk && aEntry.second.mTarget == aTarget;
    });
  if (found == mAsks.end()) {
    // Given up: the keeper learns that it is not used.
    TellSoon(account->second);
    return;
  }
  Ask& ask = found->second;
  if (ask.mAnswer == RoomAnswer::Granted) {
    return;
  }
  ask.mAnswer = aAnswer;
  ask.mUnanswered = 0;
  ask.mRepeatAt = aNow + kQueuedInterval;
  account->second.mGranted += aAnswer == RoomAnswer::Granted ? 1 : 0;
}

void
TargetRoom::Forget(const std::string& aTarget)
{
  const auto report = mReports.find(aTarget);
  if (report != mReports.end() && report->second.mRejections &&
      --mBrittleByService[report->second.mService] == 0) {
    mBrittleByService.erase(report->second.mService);
  }
  mReports.erase(aTarget);
  mAccounts.erase(aTarget);
  mKeepers.erase(aTarget);
  mKeeper.Forget(aTarget);
}

std::vector<BrittleReport>
TargetRoom::Reports(Time aNow) const
{
  std::vector<BrittleReport> reports;
  for (const auto& it : mReports) {
    if (it.second.mRejections || aNow - it.second.mSaidAt < kLiftedLifetime) {
      reports.push_back(it.second);
    }
  }
  return reports;
}

// Hosts that may be the keeper of a target, the first one first.
const std::vector<std::string>&
TargetRoom::KeepersOf(const std::string& aTarget, Time aNow) const
{
  const auto& hosts = HostsAt(aNow);
  std::vector<std::string>& keepers = mKeepers[aTarget];
  if (!keepers.empty() || hosts.empty()) {
    return keepers;
  }
  const std::uint64_t target = StableHash(aTarget);
  keepers.assign(hosts.begin(), hosts.end());
  const std::size_t count = std::min(kKeepers, keepers.size());
  std::partial_sort(keepers.begin(),
                    keepers.begin() + static_cast<std::ptrdiff_t>(count),
                    keepers.end(),
                    [&](const std::string& aLeft, const std::string& aRight) {
                      return StableHash(aLeft, target) <
                             StableHash(aRight, target);
                    });
  keepers.resize(count);
  return keepers;
}

std::optional<std::string>
TargetRoom::KeeperOf(const std::string& aTarget, Time aNow) const
{
  const bool alone = HostsAt(aNow).size() > 1 && aNow - mHeardAt >= kAloneAfter;
  for (const std::string& it : KeepersOf(aTarget, aNow)) {
    const auto avoided = mAvoided.find(it);
    const bool answers = avoided == mAvoided.end() || aNow >= avoided->second;
    if (answers && (it != mHost || !alone)) {
      return it;
    }
  }
  return std::nullopt;
}

void
TargetRoom::TellSoon(Account& aAccount)
{
  aAccount.mChanged = true;
  mNextMessageAt = Time::min();
  if (mOnNews) {
    mOnNews();
  }
}

} // namespace quetzalquay
