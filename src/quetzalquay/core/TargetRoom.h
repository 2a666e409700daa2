#ifndef QUETZALQUAY_CORE_TARGETROOM_H_INCLUDED
#define QUETZALQUAY_CORE_TARGETROOM_H_INCLUDED

#include "core/RoomKeeper.h"
#include "core/Time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace quetzalquay {

// What a target has said about the requests that it can turn away.
struct BrittleReport
{
  std::string mTarget;
  std::string mService;
  // Requests that it can turn away in one second; one more and it falls over.
  // Nothing if it is not brittle.
  std::optional<int> mRejections;
  Time mSaidAt;
};

// What this host has under way at a brittle target, and what that can hold.
struct RoomUse
{
  int mUnderWay = 0;
  RoomLimits mLimits;
};

// Whether a request may be sent to a brittle target.
enum class RoomStatus
{
  Granted,
  // The target's keeper has been asked.
  Pending,
  // The target has no room now.
  Denied,
};

// Keeps the requests that all hosts together have under way at a brittle target
// within its slots, so that it has none to turn away. For each target one host,
// its keeper, grants the room; all hosts name the same one without talking to
// each other. While no keeper answers, a host uses an even share of the slots.
// A target without a word of its own counts as brittle while another one of its
// service does. Performs no I/O; not thread-safe.
class TargetRoom
{
public:
  // Time after which an ask without an answer is repeated, and how often; after
  // that the keeper is passed over for kAvoidTime.
  static constexpr Duration kAnswerTime = std::chrono::milliseconds(40);
  static constexpr int kMaxAsks = 5;
  static constexpr Duration kAvoidTime = std::chrono::milliseconds(2000);

  // Interval at which a queued ask is repeated.
  static constexpr Duration kQueuedInterval = std::chrono::milliseconds(100);

  // Time that a host which takes over from a keeper waits before it grants
  // anything, until it has heard what is under way.
  static constexpr Duration kTakeOverTime = std::chrono::milliseconds(150);

  // Interval at which hosts tell keepers again what they have under way.
  static constexpr Duration kRepeatInterval = std::chrono::milliseconds(1000);

  // Sets the name of this host.
  void SetHost(const std::string& aHost) { mHost = aHost; }

  // Replaces the known hosts, this one included. Others that were heard lately
  // are known, too.
  void SetHosts(const std::set<std::string>& aHosts);

  // Another host was heard, which may not be listed yet.
  void OnHostHeard(const std::string& aHost, Time aNow);

  // Records what a target has said to this host or to another one. Returns
  // whether that changes what is known; what is older than the last report does
  // not.
  bool OnReport(const BrittleReport& aReport);

  // Whether the room of a target has to be asked for.
  bool IsBrittle(const std::string& aTarget, const std::string& aService) const;

  // Requests that a target can turn away in one second; nothing if it is not
  // brittle.
  std::optional<int> RejectionsOf(const std::string& aTarget,
                                  const std::string& aService) const;

  // Number of targets that say that they are brittle.
  std::size_t Count() const;

  // Whether a target is passed over, since it has just had no room.
  bool IsDenied(const std::string& aTarget, Time aNow) const;

  // Number of asks that have not been granted and taken.
  std::size_t AskCount() const { return mAsks.size(); }

  // Target whose room has been asked for or granted for a request; empty if
  // there is none.
  std::string TargetOf(const std::string& aRequestId) const;

  // Asks for room for a request at a brittle target, or takes what was granted.
  RoomStatus Take(const std::string& aRequestId,
                  const std::string& aTarget,
                  const RoomUse& aUse,
                  Time aNow);

  // Gives up what was asked for or granted for a request and not taken.
  void Cancel(const std::string& aRequestId);

  // A request of this host has ended at a target or was not sent after all, or
  // has been turned away by it.
  void OnEnded(const std::string& aTarget);
  void OnRejected(const std::string& aTarget, Time aNow);

  // What the keepers of targets have to be told, by host.
  std::vector<std::pair<std::string, RoomMessage>> TakeMessages(
    const std::function<RoomUse(const std::string&)>& aUseOf,
    Time aNow);

  // When TakeMessages() has to be called next; Time::max() if there is nothing
  // to tell.
  Time NextMessageAt() const { return mNextMessageAt; }

  // Sets a callback that runs when there is something to tell at once.
  void SetNewsCallback(std::function<void()> aCallback)
  {
    mOnNews = std::move(aCallback);
  }

  // Handles the message of another host to this one as keeper. Returns the
  // answer to what it asks for, or nothing if it does not ask.
  std::optional<RoomAnswer> OnMessage(const std::string& aHost,
                                      const RoomMessage& aMessage,
                                      const RoomLimits& aLimits,
                                      Time aNow);

  // Queued asks of other hosts that this host as keeper grants now.
  std::vector<RoomGrant> TakeGrants(Time aNow);

  // A keeper has answered.
  void OnAnswer(const std::string& aTarget,
                std::uint64_t aAsk,
                RoomAnswer aAnswer,
                Time aNow);

  // Forgets a target that is gone or has restarted.
  void Forget(const std::string& aTarget);

  // What other hosts have to be told of targets: those that are brittle, and
  // those that have lately ceased to be.
  std::vector<BrittleReport> Reports(Time aNow) const;

  // Host that grants the room of a target: the first one by a hash, or the
  // second one while that does not answer. Nothing if neither answers, or if it
  // would be this host and no other one has been heard for a while.
  std::optional<std::string> KeeperOf(const std::string& aTarget,
                                      Time aNow) const;

private:
  struct Ask
  {
    std::string mTarget;
    std::string mKeeper;
    std::uint64_t mId = 0;
    // When it is repeated if there is no answer until then.
    Time mRepeatAt;
    // How often it was sent without an answer.
    int mUnanswered = 0;
    bool mSend = false;
    // The keeper's answer, once there is one.
    std::optional<RoomAnswer> mAnswer;
  };

  // What this host has to tell a target's keeper.
  struct Account
  {
    std::int64_t mRejected = 0;
    // Granted and not taken yet.
    int mGranted = 0;
    bool mChanged = false;
    // When it is told again, and how often it has been since the last change.
    Time mRepeatAt = Time::max();
    int mRepeats = 0;
    Time mDeniedUntil;
    // Until when a host without a keeper sends nothing, after the target has
    // turned away a request of its share.
    Time mNoShareUntil;
  };

  RoomStatus TakeShare(const std::string& aTarget,
                       const RoomUse& aUse,
                       Time aNow);
  RoomStatus TakeAnswer(std::map<std::string, Ask>::iterator aAsk,
                        const RoomUse& aUse,
                        Time aNow);
  RoomStatus GiveUp(std::map<std::string, Ask>::iterator aAsk,
                    const RoomUse& aUse,
                    Time aNow);
  RoomAnswer AskOwn(Ask& aAsk, const RoomUse& aUse, Time aNow);
  bool IsKeeperFor(const std::string& aTarget, Time aNow) const;
  Time GrantsFrom(const std::string& aTarget, Time aNow);
  RoomMessage MessageOf(const std::string& aTarget,
                        const Account& aAccount,
                        int aUnderWay);
  const std::set<std::string>& HostsAt(Time aNow) const;
  const std::vector<std::string>& KeepersOf(const std::string& aTarget,
                                            Time aNow) const;
  bool IsBrittleItself(const std::string& aTarget) const;
  void TellSoon(Account& aAccount);

  std::string mHost;
  std::set<std::string> mListed;
  // Result of HostsAt(), and until when it is valid.
  mutable std::set<std::string> mHosts;
  mutable Time mHostsUntil = Time::max();
  std::map<std::string, BrittleReport> mReports;
  // Number of brittle targets, by service.
  std::map<std::string, int> mBrittleByService;
  // By request.
  std::map<std::string, Ask> mAsks;
  // By target.
  std::map<std::string, Account> mAccounts;
  // Hosts that have not answered, with the time until which they are passed
  // over.
  std::map<std::string, Time> mAvoided;
  // When this host has taken over a target's room from another one, and when
  // that was last asked for.
  struct TakeOver
  {
    Time mSince;
    Time mUsedAt;
  };
  std::map<std::string, TakeOver> mTakeOvers;
  // Hosts that may be keepers, by target; filled when it is asked for.
  mutable std::map<std::string, std::vector<std::string>> mKeepers;
  // When other hosts were last heard.
  std::map<std::string, Time> mHeard;
  RoomKeeper mKeeper;
  Time mHeardAt;
  std::uint64_t mLastAsk = 0;
  std::uint64_t mLastMessage = 0;
  Time mNextMessageAt = Time::max();
  std::function<void()> mOnNews;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_CORE_TARGETROOM_H_INCLUDED
