#ifndef QUETZALQUAY_TESTS_FAKES_GATEWAYTESTCLUSTER_H_INCLUDED
#define QUETZALQUAY_TESTS_FAKES_GATEWAYTESTCLUSTER_H_INCLUDED

#include "GatewayProcess.h"
#include "RunnerLink.h"
#include "StoreServer.h"
#include "TestConfiguration.h"

#include "http/EventLoop.h"
#include "http/HttpReader.h"
#include "http/Socket.h"

#include <array>
#include <atomic>
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

// What the fake store's replies to reads hold.
enum class StoreFault
{
  None,
  // 14 MB of empty lists instead of rows.
  EmptyLists,
  // 4 MB of rows without members.
  EmptyRows,
  // A configuration of 3 MB of empty lists.
  LargeConfiguration,
  Last,
};

// How a runner of the fake platform handles requests.
enum class RunnerMode
{
  Serve,
  // Answers 503 with X-Not-Executed.
  Reject,
  // Answers 421 with the name of another runner.
  WrongRunner,
  // Resets the connection without a response.
  ResetImmediately,
  // Sends fewer bytes than Content-Length says.
  ShortAnswer,
  // Sends a second response after the first one.
  ExtraAnswer,
  // Sends the response to another request first.
  MismatchedAnswer,
  // Answers without X-Server-Seal.
  UnsignedAnswer,
  // Answers before it has read the body.
  EarlyAnswer,
  // Sends a body without Content-Length and resets the connection.
  UnframedReset,
  // The same before it has read the body, so that a reset may reach the sender
  // while it writes.
  EarlyUnframedReset,
  // The same, but closes the connection.
  EarlyUnframedClose,
  // Answers with status 000.
  InvalidStatus,
  // Resets the connection in the middle of an event.
  TruncatedStream,
  // Stops sending after some events and answers no probe.
  SilentStream,
  // Stops sending for a while, refuses new connections meanwhile, and then
  // continues.
  PausedStream,
  // Sends events slowly and resets the connection in the middle of a late one.
  SlowTruncatedStream,
  // Skips an event.
  GapInStream,
  // Sends the first digit of the ID of a run's first event twice.
  SpoiledFirstId,
  // The same of its second event.
  SpoiledSecondId,
  // Accepts requests and never answers.
  NeverAnswer,
  // Answers a plain request with a large body; see SetLargeAnswer().
  LargeAnswer,
  // Sends nothing on any connection until the mode changes, and then continues.
  Frozen,
  // Answers a plain request after 450 ms.
  SlowAnswer,
  // Answers 500 with X-Server-Seal.
  Fail,
  // The same for every second request.
  FailHalf,
  // Answers 503 with X-Server-Seal but without X-Not-Executed.
  Fail503,
  // The same with 429, on streams, too.
  Fail429,
  // Sends sound answers and streams with neither a length nor chunks, which end
  // with their connection.
  Unframed,
  // The same, but closes the connection inside an event; plain answers are
  // reset.
  UnframedTorn,
  // The same, but resets the connection between two events; plain answers are
  // reset.
  UnframedStreamReset,
  // Sends a head that never ends instead of an answer.
  EndlessHead,
  // Sends a body that never ends: of a plain answer without a length, of a
  // stream after some events.
  EndlessBody,
  // Sends bytes without end after a whole answer.
  EndlessTail,
};

// What is wrong with a runner's replies to a gateway's own questions: reports
// and replies to orders of copies.
enum class ReplyFault
{
  // Nested values, deeper than a recursive parser bears.
  Nested,
  // A body without end.
  Endless,
};

// How a crashed runner comes back at its address.
enum class RunnerReturn
{
  // Under a new name; the entry of the old one expires later.
  NewName,
  // Under its name, with another start time.
  SameName,
};

// What callers see of a runner that crashes.
enum class RunnerEnd
{
  // Its connections are reset, and new ones are refused.
  Reset,
  // Its connections, and new ones, fall silent. They are reset when it is back.
  Silent,
};

// A request received by a runner.
struct RunnerRequest
{
  std::string mRunner;
  quetzalquay::HttpHead mHead;
  std::string mBody;
  quetzalquay::Time mAt;
  // Earliest time at which it can have arrived: mAt, unless the fakes or the
  // runner have stood still until shortly before.
  quetzalquay::Time mArrivedFrom;
  // Software version of the runner.
  std::string mVersion;
  // Software version of the runner that the request names to keep a copy of the
  // KV cache; empty if it names none, or if that runner has just started.
  std::string mCopyVersion;
};

// Passes datagrams between two endpoints, in both directions, through an
// address of its own.
class DatagramRelay
{
public:
  using Endpoint = boost::asio::ip::udp::endpoint;

  // aDrops decides for each datagram whether it is lost.
  DatagramRelay(quetzalquay::EventLoop& aLoop,
                const Endpoint& aOwn,
                Endpoint aFirst,
                Endpoint aSecond,
                std::function<bool()> aDrops);

private:
  void Receive();

  boost::asio::ip::udp::socket mSocket;
  Endpoint mFirst;
  Endpoint mSecond;
  std::function<bool()> mDrops;
  Endpoint mSender;
  std::array<char, 65536> mBuffer{};
};

// Runs an event loop in its own thread.
class LoopThread
{
public:
  explicit LoopThread(quetzalquay::EventLoop& aLoop)
    : mLoop(aLoop)
    , mThread([this] { mLoop.Run(); })
  {
  }
  ~LoopThread()
  {
    mLoop.Stop();
    mThread.join();
  }
  LoopThread(const LoopThread&) = delete;
  LoopThread& operator=(const LoopThread&) = delete;

private:
  quetzalquay::EventLoop& mLoop;
  std::thread mThread;
};

// A fake store and fake runners of the platform on loopback addresses, with
// gateway processes in front of them.
class GatewayTestCluster
{
public:
  struct Options
  {
    int mRunners = 3;
    int mGateways = 1;
    // Gateway that cannot reach the others, nor they it; -1 if there is none.
    // All reach the store.
    int mCutOff = -1;
    // Gateways, the last ones, that are started only by Join().
    int mLateGateways = 0;
    // Whether datagrams between gateways can be lost.
    bool mRelaysDatagrams = false;
    // Runners, the last ones, that belong to kSecondService.
    int mSecondServiceRunners = 0;
    GatewayTestSettings mSettings{};
    // Software versions of the runners, repeated in this order.
    std::vector<std::string> mVersions = { "v1" };
    // Whether the entries of runners have a start time from their first start
    // on; otherwise they have one after a crash only.
    bool mFirstStartTime = false;
    // Runners, the last ones, that are started only by StartRunner().
    int mLateRunners = 0;
    // Whether each gateway has links of its own to the runners, which can be
    // cut.
    bool mHasRunnerLinks = false;
  };

  // Starts everything; the gateways are ready when this returns.
  explicit GatewayTestCluster(const Options& aOptions);
  explicit GatewayTestCluster(int aRunners = 3, int aGateways = 1);
  ~GatewayTestCluster();

  static constexpr int kEvents = 40;

  // Size of the body that a runner sends in RunnerMode::LargeAnswer.
  static constexpr std::size_t kLargeAnswerBytes = 3U << 20U;
  void SetLargeAnswer(std::size_t aBytes) { mLargeAnswerBytes = aBytes; }

  // A request whose body begins so crashes each runner that runs it: the runner
  // drops its connections, refuses new ones for a while and comes back.
  static constexpr char kCrashingBody[] = "crash";

  // A part of a prompt whose ID begins so crashes each runner that begins to
  // write an answer on it, unless it is the last one of its prompt.
  static constexpr char kCrashingPart[] = "dead";

  // Sets how long a crashing request runs before its runner crashes.
  void SetCrashDelay(std::chrono::milliseconds aDelay)
  {
    mCrashDelayMs = static_cast<int>(aDelay.count());
  }

  // Sets the events that a runner writes on a crashing part before it crashes.
  void SetEventsBeforeCrash(int aCount) { mEventsBeforeCrash = aCount; }

  // The ID of the crashing part in a prompt's list of parts; empty if there is
  // none.
  static std::string CrashingPartOf(const std::string& aPrompt);

  // The end of a runner that was running a crashing request.
  struct RunnerCrash
  {
    // Body of the crashing request, or the ID of its crashing part; a crash is
    // listed once for each.
    std::string mBody;
    quetzalquay::Time mAt;
  };
  std::vector<RunnerCrash> Crashes();

  // Spoils the next aCount replies of runners to a gateway's own questions.
  void SpoilReplies(ReplyFault aFault, int aCount);

  // Replies that are still to be spoiled.
  int RepliesToSpoil() const { return mRepliesToSpoil; }

  // Sets how runners come back that crash from now on.
  void SetRunnerReturn(RunnerReturn aReturn) { mRunnerReturn = aReturn; }

  // Sets what callers see of runners that crash from now on.
  void SetRunnerEnd(RunnerEnd aEnd) { mRunnerEnd = aEnd; }

  // Number of runners that a request has crashed so far.
  int CrashCount() const { return mCrashCount; }

  // Starts the next late gateway, which no other one has heard of before.
  void Join();

  // Drops a share of the datagrams between gateways, in percent. Needs
  // Options::mRelaysDatagrams.
  void SetDatagramLoss(int aPercent) { mDatagramLoss = aPercent; }

  // Lets all runners of a place crash at once, whatever they run.
  void FailPlace(const std::string& aPlace);

  // Lets all fakes stand still, as a process that gets no time.
  void StandStill(std::chrono::milliseconds aTime);

  // Lets a runner crash, whatever it runs. Each of its later starts has the
  // given software version.
  void CrashRunner(const std::string& aRunner, const std::string& aVersion);

  // Starts a late runner.
  void StartRunner(const std::string& aRunner);

  // Registers a runner as draining; it continues to serve.
  void DrainRunner(const std::string& aRunner);

  // Ends a runner for good and removes its entry.
  void StopRunner(const std::string& aRunner);

  // Resets the connections of a runner, which continues to serve.
  void ResetRunner(const std::string& aRunner);

  // Resets the connections of a runner on which no request is in progress.
  void DropIdle(const std::string& aRunner);

  // Lets runners forget connections that have been idle for so long; the next
  // request on one is answered by a reset. Zero for never.
  void SetForgottenAfter(std::chrono::milliseconds aTime)
  {
    mForgottenAfterMs = static_cast<int>(aTime.count());
  }

  // Number of runners of a software version, of any if it is empty, that have
  // served new requests for kSettledAfter at least.
  int ServingCount(const std::string& aVersion);

  // Time after the start of a runner until all hosts know it.
  static constexpr auto kSettledAfter = std::chrono::milliseconds(1500);

  // Number of gateways, including late ones.
  std::size_t MaxGatewayCount() const { return mNodes.size(); }

  // Number of gateways that have been started.
  std::size_t GatewayCount() const;

  // Lets a sound runner's process stand still for a while: it neither reads nor
  // sends, and new connections to it are established but not served. Nothing is
  // lost, and it goes on afterwards.
  void Stall(const std::string& aRunner, std::chrono::milliseconds aTime);

  // Times of sound runners: until the first event of a stream, between its
  // events, and until a plain answer.
  void SetPace(std::chrono::milliseconds aFirstEvent,
               std::chrono::milliseconds aEventInterval,
               std::chrono::milliseconds aPlainAnswer);

  // Connections that a runner accepts before it resets further ones.
  void SetRunnerMaxConnections(int aCount) { mRunnerMaxConnections = aCount; }

  // Sets the limit that a runner names in all its answers, in requests a
  // second; empty for none.
  void SetLimit(const std::string& aRunner, const std::string& aLimit);

  // Sets how many requests a runner runs at a time, how many more it lets wait,
  // and how many its entry says that it runs; it answers 503 with
  // X-Not-Executed to others. Zero slots stand for no limit.
  void SetRoom(const std::string& aRunner,
               int aSlots,
               int aWaiting,
               int aDeclaredSlots);

  // Lets a runner say in all its answers that it is brittle, with this text;
  // empty for none. kBrittleAfter later it lets only aWaiting requests wait,
  // and falls over when it turns more than the number away in a second.
  void SetBrittle(const std::string& aRunner,
                  const std::string& aText,
                  int aWaiting);
  static constexpr auto kBrittleAfter = std::chrono::milliseconds(3000);

  // Times at which brittle runners fell over, and the requests that a runner
  // turned away for want of room.
  std::vector<quetzalquay::Time> Falls();
  int TurnedAwayCount() const { return mTurnedAwayCount; }

  // Lets a runner say in all its answers that it leaves, until it crashes. It
  // continues to serve, and its entry stays as it is.
  void SayLeaving(const std::string& aRunner);

  // Sets the Retry-After of a runner's answers 503; empty for none. While it
  // has one, RunnerMode::Reject and Fail503 answer reports and moves of memory
  // 503, too.
  void SetRetryAfter(const std::string& aRunner, const std::string& aText);

  void SetMode(const std::string& aRunner, RunnerMode aMode);
  void SetAllModes(RunnerMode aMode);

  // Sets the limits on callers in further configurations.
  void SetCallerLimits(const TestLimits& aLimits) { mCallerLimits = aLimits; }

  // Writes a configuration with the given API key and waits until all running
  // gateways have applied it.
  void Configure(const std::string& aKey);

  // Writes a configuration and returns its version, without waiting. Its number
  // is aNumber, or the store's version if that is 0.
  long long Write(const TestConfiguration& aConfiguration,
                  long long aNumber = 0);

  // Keeps a copy of the store, and lets the store come back from it: what was
  // written since is lost, and its versions are given out again.
  void KeepCopyOfStore();
  void ReturnFromCopy();

  // Waits until all running gateways have applied a version and are ready.
  void AwaitConfiguration(long long aVersion) const;

  // Waits until all running gateways are ready.
  void AwaitReady() const;

  // Waits until all running gateways meet a condition; throws on timeout.
  void Await(
    const std::function<bool(const GatewayProcess&)>& aCondition) const;

  // Sets a runner's entry in the store; an empty value removes it.
  void SetEntry(const std::string& aRunner, const std::string& aValue);

  // Cuts the links of a gateway to runners, or restores them. Needs
  // Options::mHasRunnerLinks.
  void SetLinks(std::size_t aGateway,
                const std::vector<std::string>& aRunners,
                LinkState aState);

  // Connections that a gateway has made to runners since the start. Needs
  // Options::mHasRunnerLinks.
  int CountLinkConnections(std::size_t aGateway);

  // Names of the runners of a service, of any if it is empty.
  std::vector<std::string> RunnersOf(const std::string& aService = {}) const;

  // Writes a row of any table, and reads its value; empty if there is none.
  void SetRow(const std::string& aTable,
              const std::string& aKey,
              const std::string& aValue)
  {
    Write(aTable, aKey, aValue, false);
  }
  std::string RowOf(const std::string& aTable, const std::string& aKey);

  // Number of rows of a table that are not removed.
  int CountRows(const std::string& aTable);

  // Simulates a restart of a runner under another name at the same address: all
  // its connections are dropped.
  void Restart(const std::string& aRunner, const std::string& aName);

  // IDs of the requests whose streams were closed before their end.
  std::vector<std::string> AbandonedRequests();

  // Address of a runner, and the runner at an address.
  std::string AddressOf(const std::string& aRunner) const;
  std::string RunnerAt(const std::string& aAddress) const;

  // Marks a runner's entry in the store as draining, or removes the entry. The
  // runner goes on serving.
  void SetLeaving(const std::string& aRunner);
  void RemoveEntry(const std::string& aRunner) { SetEntry(aRunner, ""); }

  // Writes a runner's entry again, as ready.
  void Register(const std::string& aRunner);

  // Lets the store serve one gateway at another address, which is in the
  // settings file of the gateway then. The former one resets all connections.
  void MoveStore(std::size_t aGateway);

  // Sets how the store handles the calls of one gateway.
  void SetStoreAccess(StoreAccess aAccess, std::size_t aGateway = 0)
  {
    mNodes[aGateway]->mStore->SetAccess(aAccess);
  }

  // Sets what the replies to all reads of the store hold.
  void SpoilStoreReplies(StoreFault aFault) { mStoreFault = aFault; }

  // Answers all store calls of one gateway with 503 while set.
  void SetStoreDown(bool aDown, std::size_t aGateway = 0)
  {
    SetStoreAccess(aDown ? StoreAccess::Unavailable : StoreAccess::Serve,
                   aGateway);
  }

  // Waits until the store has answered one more read of the runners' entries
  // to a gateway.
  void AwaitRunnersRead(std::size_t aGateway = 0) const;

  GatewayProcess& Gateway(std::size_t aNumber = 0) const
  {
    return *mNodes[aNumber]->mGateway;
  }

  // Port on which all gateways receive requests of other hosts.
  int RelayPort() const { return mRelayPort; }

  // Port at which the first gateway answers other hosts that ask for rows.
  int PeerPort() const;

  // Sends bytes to the first gateway on a new connection and reads one
  // response.
  CallerAnswer Call(const std::string& aBytes) const;

  // Builds a request to the route "/plain/", "/unsafe/", "/stream/", to
  // "/brief/", which has a short time limit, to "/quick/", which may run four
  // times and has a latency objective of 300 ms, or to "/paced/", a stream that
  // takes kPacedDuration at least.
  static std::string Request(const std::string& aRoute,
                             const std::string& aId,
                             const std::string& aFields = std::string(),
                             const std::string& aBody = "body",
                             int aDeadlineMs = 9000);

  // Requests received by runners, including those not run.
  std::vector<RunnerRequest> Requests();

  // Requests for reports that runners received.
  std::vector<RunnerRequest> Reports();

  // Requests that runners started to run.
  std::vector<RunnerRequest> Runs();

  // Body of the plain answer to a request whose path ends with "/large".
  static const std::string& LargeBody();
  static constexpr auto kPacedDuration = std::chrono::milliseconds(1600);

  // Complete body of a stream.
  static std::string StreamBody();

private:
  class Runner;
  class RunnerConnection;

  struct Row
  {
    // In base64.
    std::string mValue;
    long long mVersion = 0;
    bool mRemoved = false;
  };

  // One gateway and its own endpoint of the fake store.
  struct GatewayNode
  {
    int mStorePort = 0;
    std::unique_ptr<StoreServer> mStore;
    // At the address before mStore's.
    std::unique_ptr<StoreServer> mFormerStore;
    // Reads of the runners' entries that were answered.
    std::atomic<int> mRunnersReads{ 0 };
    std::unique_ptr<GatewayProcess> mGateway;
    std::string mName;
    bool mCutOff = false;
    // Links to the runners, by the runners' ports.
    std::map<int, std::unique_ptr<RunnerLink>> mLinks;
  };

  void StartLinks(std::size_t aNumber);
  std::string LinksOf(std::size_t aNumber) const;
  bool IsCutOff(const GatewayNode& aReader, const std::string& aName) const;
  void StartStore(GatewayNode& aNode);
  void StartGateway(std::size_t aNumber);
  void StartRelays();
  const std::string& PeerOf(const std::string& aName) const;
  std::string AddressSeenBy(const GatewayNode& aReader,
                            const std::string& aName) const;
  // Answers a call that was received aAge ago. Returns nothing while a call for
  // changes waits for one.
  std::optional<quetzalquay::SimpleHttpReply> HandleStoreRequest(
    GatewayNode& aReader,
    const quetzalquay::HttpHead& aHead,
    const std::string& aBody,
    quetzalquay::Duration aAge);
  bool ApplyTransaction(const std::string& aBody, std::string& aRows);
  static std::string FormatRow(const std::string& aKey, const Row& aRow);
  static std::string SpoiledRows(StoreFault aFault, long long aVersion);
  static std::string EntryOf(const std::string& aService,
                             const std::string& aAddress,
                             const std::string& aPlace,
                             const std::string& aVersion,
                             const std::string& aExtraFields,
                             const std::string& aState = "ready",
                             int aSlots = kDeclaredSlots);
  static constexpr int kDeclaredSlots = 8;
  std::string CopyVersionOf(const quetzalquay::HttpHead& aHead,
                            const std::string& aBody,
                            quetzalquay::Time aArrivedFrom) const;
  void Beat();
  // Earliest time at which input that is read at aNow can have arrived.
  quetzalquay::Time ArrivedFrom(quetzalquay::Time aNow) const;
  void DoInLoop(const std::function<void()>& aTask);
  void Write(const std::string& aTable,
             const std::string& aKey,
             const std::string& aValue,
             bool aRemoved);

  quetzalquay::EventLoop mLoop;
  // Shows when the loop stands still.
  quetzalquay::Timer mBeatTimer{ mLoop, [this] { Beat(); } };
  quetzalquay::Time mBeatAt;
  // All input that arrived until then has been read.
  quetzalquay::Time mReadUntil;
  std::vector<std::unique_ptr<GatewayNode>> mNodes;
  int mLoadPort = 0;
  int mRelayPort = 0;
  TestLimits mCallerLimits;
  // Peer addresses of all gateways.
  std::vector<std::string> mPeers;
  std::map<std::string, std::unique_ptr<Runner>> mRunners;
  std::mutex mMutex;
  std::map<std::string, std::map<std::string, Row>> mTables;
  long long mVersion = 0;
  // The copy that was kept of both.
  std::map<std::string, std::map<std::string, Row>> mCopiedTables;
  long long mCopiedVersion = 0;
  GatewayTestSettings mSettings;
  // Pace of sound runners, in ms.
  std::atomic<int> mFirstEventMs{ 0 };
  std::atomic<int> mEventIntervalMs{ 5 };
  std::atomic<int> mPlainAnswerMs{ 0 };
  std::atomic<int> mRunnerMaxConnections{ 1000000 };
  std::atomic<RunnerReturn> mRunnerReturn{ RunnerReturn::NewName };
  std::atomic<RunnerEnd> mRunnerEnd{ RunnerEnd::Reset };
  std::atomic<ReplyFault> mReplyFault{ ReplyFault::Nested };
  std::atomic<int> mRepliesToSpoil{ 0 };
  std::atomic<StoreFault> mStoreFault{ StoreFault::None };
  // Version that spoiled rows have taken in the store; 0 before they are read.
  long long mSpoiledVersion = 0;
  std::atomic<int> mCrashCount{ 0 };
  std::atomic<int> mCrashDelayMs{ 0 };
  std::atomic<int> mEventsBeforeCrash{ 0 };
  std::vector<RunnerCrash> mCrashes;
  std::vector<quetzalquay::Time> mFalls;
  std::atomic<int> mTurnedAwayCount{ 0 };
  std::atomic<std::size_t> mLargeAnswerBytes{ kLargeAnswerBytes };
  std::atomic<int> mForgottenAfterMs{ 0 };
  std::vector<std::unique_ptr<DatagramRelay>> mRelays;
  std::atomic<int> mDatagramLoss{ 0 };
  std::mt19937 mRandom{ 1 };
  std::vector<RunnerRequest> mRequests;
  std::vector<RunnerRequest> mReports;
  std::vector<RunnerRequest> mRuns;
  std::vector<std::string> mAbandonedRequests;
  // Runs the fakes; stopped before they are destroyed.
  std::optional<LoopThread> mThread;
};

#endif // QUETZALQUAY_TESTS_FAKES_GATEWAYTESTCLUSTER_H_INCLUDED
