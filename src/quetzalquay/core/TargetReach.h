#ifndef QUETZALQUAY_CORE_TARGETREACH_H_INCLUDED
#define QUETZALQUAY_CORE_TARGETREACH_H_INCLUDED

#include "core/NameTable.h"
#include "core/Time.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace quetzalquay {

// Whether a host reaches the targets of a service.
enum class ReachState
{
  Reached,
  // Most connections fail, and it is not known yet whether other hosts reach
  // the targets.
  Suspected,
  // Other hosts reach the targets.
  CutOff,
};

inline constexpr NameTable<ReachState, 3> kReachStateNames({ "reached",
                                                             "suspected",
                                                             "cut_off" });

// Which hosts may serve a request.
enum class HostChoice
{
  // Those that have not refused a request lately, as the request may also stay
  // where it is.
  Willing,
  // The others, too, if there is none of these.
  Any,
};

// What a host knows of the targets of one service.
struct ReachEvidence
{
  int mTargets = 0;
  // Targets to which connections fail, and others that were heard recently.
  int mFailing = 0;
  int mHeard = 0;
  // Targets that failed, were heard by another host and failed again, and
  // others that were heard after the first of these failures.
  int mContradicted = 0;
  int mHeardSince = 0;
};

// A change of belief, for logs.
struct ReachChange
{
  std::string mService;
  ReachState mFrom;
  ReachState mTo;
  ReachEvidence mEvidence;
  // Time since the first of the current failures.
  Duration mFailingFor;
  // Hosts that have answered asks since then.
  int mHosts;
};

// Asks other hosts when they last heard targets.
struct ReachAsk
{
  std::string mService;
  std::uint64_t mId;
  std::vector<std::string> mTargets;
  // The hosts to ask.
  std::vector<std::string> mHosts;
};

// The answer of another host.
struct ReachAnswer
{
  std::string mHost;
  std::string mService;
  std::uint64_t mAsk;
  // Whether the answering host reaches the service's targets itself.
  ReachState mState;
  // Time since bytes were last received from each target that it reaches, and
  // the targets to which its connections fail while it reaches others of the
  // service.
  std::vector<std::pair<std::string, Duration>> mHeard;
  std::vector<std::string> mFailing;
};

// Decides from which services' targets this host is cut off while other hosts
// reach them, and which other host serves a request instead.
//
// Failures of most targets of a service raise a suspicion. Other hosts are then
// asked when they last heard these targets: a target that has failed here, was
// heard there afterwards and fails here again is unreachable from here, not
// dead. Without other hosts, or if they have lost the targets as well, the
// targets have failed.
// While the host is cut off, a few targets are tried from time to time; when
// most of those tried last accept connections, the cut has ended.
// Performs no I/O; not thread-safe.
class TargetReach
{
public:
  explicit TargetReach(std::string aPlace = std::string(),
                       std::uint64_t aSeed = 0);

  // Maximum number of targets in one ask.
  static constexpr std::size_t kMaxAskedTargets = 24;

  // Time within which a suspicion is confirmed or dropped.
  static constexpr Duration kSuspicionTime = std::chrono::milliseconds(600);

  // Silence after which a host is not chosen.
  static constexpr Duration kHostFreshness = std::chrono::milliseconds(3000);

  // Replaces the known targets, by service; leaving ones are not among them.
  void Declare(const std::map<std::string, std::vector<std::string>>& aTargets);

  // Replaces the known hosts, without this one.
  void SetHosts(std::set<std::string> aHosts);

  // Sets a callback that runs whenever asks, tries or changes may be due.
  void SetCallback(std::function<void()> aCallback);

  // A connection to a target has been established.
  void OnConnected(const std::string& aService,
                   const std::string& aTarget,
                   Time aNow);

  // A connection to a target has been established, or bytes have arrived on
  // one.
  void OnReached(const std::string& aService,
                 const std::string& aTarget,
                 Time aNow);

  // A target has refused or not answered a connection attempt.
  void OnNotReached(const std::string& aService,
                    const std::string& aTarget,
                    Time aNow);

  // An established connection to a target was reset, or is silent beyond the
  // time in which the target should have answered a probe.
  void OnConnectionLost(const std::string& aService,
                        const std::string& aTarget,
                        Time aNow);

  // A request has been written to a target, which should send bytes.
  void OnSent(const std::string& aService,
              const std::string& aTarget,
              Time aNow);

  // Whether this host is cut off from a service's targets, so that its requests
  // are passed on at once.
  bool IsCutOff(const std::string& aService, Time aNow) const;

  // Whether this host may be cut off from a service's targets: a request that
  // could not be sent to a target is passed on instead of trying another one.
  bool IsSuspected(const std::string& aService, Time aNow) const;

  // What this host believes of a service's targets: a suspicion ends by time.
  ReachState StateOf(const std::string& aService, Time aNow) const;

  // The last decision. A suspicion that has ended by time stands until it is
  // dropped, as answers that have arrived but were not read yet may still
  // confirm it. Deaths are held back until then.
  ReachState DecidedStateOf(const std::string& aService) const;

  ReachEvidence EvidenceOf(const std::string& aService, Time aNow) const;

  // Services from whose targets this host is or may be cut off.
  std::vector<std::string> UnreachedServices(Time aNow) const;

  // Number of services from whose targets this host is cut off.
  int CountCutOff() const;

  // When AdvanceTo() has to be called next; Time::max() if never.
  Time NextDue(Time aNow) const;

  // Makes the decisions that are due.
  void AdvanceTo(Time aNow);

  // Asks that are due.
  std::vector<ReachAsk> TakeAsks(Time aNow);

  // A target to which a connection is to be tried.
  struct Try
  {
    std::string mService;
    std::string mTarget;
  };

  // Tries that are due: of targets of services from which this host is or may
  // be cut off, and of those that are silent after a request. OnConnected() or
  // OnNotReached() tells the result.
  std::vector<Try> TakeTries(Time aNow);

  // Changes of belief since the last call.
  std::vector<ReachChange> TakeChanges();

  // Answers the ask of another host.
  ReachAnswer Answer(const std::string& aService,
                     std::uint64_t aAsk,
                     const std::vector<std::string>& aTargets,
                     Time aNow) const;

  // Takes an answer of another host to an ask of this one. Returns how many
  // targets the host has heard since they failed here.
  int OnAnswer(const ReachAnswer& aAnswer, Time aNow);

  // Sets what says whether the address of a host is known. Hosts without one
  // are not chosen.
  using AddressCheck = std::function<bool(const std::string& aHost, Time aNow)>;
  void SetAddressCheck(AddressCheck aCheck) { mHasAddress = std::move(aCheck); }

  // A message of another host has arrived.
  void OnHostHeard(const std::string& aHost,
                   const std::string& aPlace,
                   Time aNow);

  // Another host has told from which services' targets it is or may be cut off.
  void OnHostUnreached(const std::string& aHost,
                       std::set<std::string> aServices);

  // Chooses a host that reaches a service's targets, other than those that have
  // been tried. Nothing if there is none.
  std::optional<std::string> ChooseHost(
    const std::string& aService,
    const std::vector<std::string>& aTried,
    Time aNow,
    HostChoice aChoice = HostChoice::Willing);

  // Other hosts and what keeps a service's requests from being passed on to
  // them, for the log; a few of many.
  std::string DescribeHosts(const std::string& aService, Time aNow) const;

  // A request has been passed on to a host, and its answer has ended. Hosts
  // with fewer requests of this host are preferred.
  void OnPassedOn(const std::string& aHost);
  void OnPassedOnEnded(const std::string& aHost);

  // A host could not be reached. It is not chosen for a while.
  void OnHostFailed(const std::string& aHost, Time aNow);

  // A host has refused a request that was passed on to it. It may serve the
  // next one, but for a while others are preferred.
  void OnHostRefused(const std::string& aHost, Time aNow);

private:
  struct Contact
  {
    // Last established connection, last bytes or connection, and last request.
    Time mConnectedAt;
    Time mHeardAt;
    Time mSentAt;
    // Last failed connection attempt, and last loss of a connection.
    Time mConnectFailedAt;
    Time mLostAt;
    // First failure since the target was reached, and when another host heard
    // it since then; nothing if none is known to have.
    Time mFailingSince;
    std::optional<Time> mHeardElsewhereAt;
    // When a connection was last tried while the host may be cut off.
    Time mTriedAt;
  };

  struct Service
  {
    std::map<std::string, Contact> mTargets;
    ReachState mState = ReachState::Reached;
    // When a suspicion is dropped, and until when no new one is raised.
    Time mDecideAt;
    Time mDroppedUntil;
    // When other hosts are asked next, and the times of the last asks.
    Time mNextAskAt = Time::max();
    std::deque<std::pair<std::uint64_t, Time>> mAsks;
    // Hosts that have answered since the first failure, and those that reach
    // the service but to whose connections the same targets fail.
    std::set<std::string> mAnswered;
    std::set<std::string> mAgreeing;
    // When targets are tried next while the host is or may be cut off, the last
    // one that was tried while it is, and the results for those tried last.
    Time mNextTryAt;
    std::string mLastTried;
    std::deque<std::pair<std::string, bool>> mTries;
    // Ends of cuts after which the next one began soon, and the last end.
    int mRelapses = 0;
    Time mEndedAt;
    // First request since bytes were last received, nothing if there is none,
    // and the last request.
    std::optional<Time> mAwaitedSince;
    Time mSentAt;
    // Silence after which targets are tried, when that was last done, and
    // whether none has accepted a connection since.
    Duration mSilence = Duration::zero();
    Time mCheckedAt;
    bool mChecking = false;
  };

  struct Host
  {
    std::string mPlace;
    Time mHeardAt;
    std::set<std::string> mUnreached;
    int mPassedOn = 0;
    Time mAvoidedUntil;
    Time mRefusesUntil;
  };

  // What keeps a host from being chosen.
  enum class HostBar
  {
    None,
    // It has not been heard from lately.
    Silent,
    // A request that was passed on to it has failed.
    Failed,
    // It says that it does not reach the service's targets.
    Unreached,
    // Its address is not known, as it stops or has stopped.
    NoAddress,
  };

  HostBar BarOf(const std::string& aName,
                const Host& aHost,
                const std::string& aService,
                Time aNow) const;
  Service* FindService(const std::string& aService);
  Contact* FindContact(const std::string& aService, const std::string& aTarget);
  static bool IsFailing(const Contact& aContact, Time aNow);
  static Time LastFailureOf(const Contact& aContact);
  bool MayTellFailure(const Service& aService,
                      const Contact& aFailing,
                      Time aNow) const;
  static bool IsContradicted(const Contact& aContact, Time aNow);
  static ReachEvidence Evidence(const Service& aService, Time aNow);
  static Time SuspicionEnd(const Service& aService,
                           const ReachEvidence& aEvidence);
  int NeededFailures(const Service& aService) const;
  int NeededContradictions(const Service& aService) const;
  std::vector<std::string> ChooseHostsToAsk(const std::string& aService,
                                            Time aNow);
  static std::vector<std::string> TargetsToVerify(const Service& aService,
                                                  Time aNow);
  void OnFailure(const std::string& aService, Contact& aContact, Time aNow);
  void Update(const std::string& aName, Service& aService, Time aNow);
  void SetState(const std::string& aName,
                Service& aService,
                ReachState aState,
                Time aNow);
  void EndCut(const std::string& aName, Service& aService, Time aNow);
  void RecordTry(const std::string& aService,
                 const std::string& aTarget,
                 bool aReached,
                 Time aNow);
  static std::size_t NeededTries(const Service& aService);
  bool HasOtherHosts(Time aNow) const;
  Time CheckDueAt(const Service& aService) const;
  void Notify() const;

  std::string mPlace;
  std::mt19937_64 mRandom;
  AddressCheck mHasAddress;
  std::map<std::string, Service> mServices;
  std::set<std::string> mKnownHosts;
  std::map<std::string, Host> mHosts;
  std::uint64_t mNextAsk = 1;
  std::vector<ReachChange> mChanges;
  std::function<void()> mCallback;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_CORE_TARGETREACH_H_INCLUDED
