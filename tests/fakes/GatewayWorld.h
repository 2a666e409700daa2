#ifndef QUETZALQUAY_TESTS_FAKES_GATEWAYWORLD_H_INCLUDED
#define QUETZALQUAY_TESTS_FAKES_GATEWAYWORLD_H_INCLUDED

#include "GatewayProcess.h"

#include "http/EventLoop.h"
#include "http/HttpReader.h"
#include "http/SmallServer.h"
#include "http/Socket.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

// How a runner of the stand-in platform treats the requests it gets.
enum class RunnerMode
{
  Serve,
  // Answers and says that it has not run the request.
  TurnAway,
  // Says that it is another runner.
  OtherRunner,
  // Closes without an answer.
  ResetAtOnce,
  // Announces more bytes than it sends.
  ShortAnswer,
  // Sends a second answer behind the first.
  ExtraAnswer,
  // Sends the answer of another request first.
  CrossedAnswer,
  // Answers without the signature.
  Unsigned,
  // Answers before it has read the body.
  EarlyAnswer,
  // Sends a body without length and resets.
  UnframedReset,
  // Resets in the middle of an event.
  TornStream,
  // Falls silent after some events and answers no probe.
  SilentStream,
  // Falls silent for a while, refuses probes, and then goes on.
  PausedStream,
  // Makes events slowly and resets in the middle of a late one.
  SlowTornStream,
  // Leaves out an event.
  GapInStream,
  // Takes requests and never answers.
  Hold,
  // Fails with a signed 500.
  Fail,
  // Fails with a signed 503 that does not say the request has not run.
  Fail503,
};

// What one runner was asked.
struct RunnerRequest
{
  std::string mRunner;
  quetzalquay::HttpHead mHead;
  std::string mBody;
};

// Runs an event loop in a thread of its own.
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

// A store and runners of the platform on loopback addresses, with gateway
// processes in front of them.
class GatewayWorld
{
public:
  // Starts everything; the gateways are ready when this returns.
  explicit GatewayWorld(int aRunners = 3, int aGateways = 1);
  ~GatewayWorld();

  static constexpr int kEvents = 40;

  void SetMode(const std::string& aRunner, RunnerMode aMode);
  void SetAllModes(RunnerMode aMode);

  // Puts a configuration in force and waits until all running gateways have it.
  void Configure(const std::string& aKey);

  // Waits until all running gateways meet a condition.
  void Await(
    const std::function<bool(const GatewayProcess&)>& aCondition) const;

  // Sets a runner's entry; empty removes it.
  void SetEntry(const std::string& aRunner, const std::string& aValue);

  // Starts a runner again under another name, at its address.
  void Restart(const std::string& aRunner, const std::string& aName);

  // Requests whose streams were left before their end.
  std::vector<std::string> Abandoned();

  // Address of a runner, and the runner at an address.
  std::string AddressOf(const std::string& aRunner) const;
  std::string RunnerAt(const std::string& aAddress) const;

  // Answers all store calls of one gateway with 503 while set.
  void SetStoreDown(bool aDown, std::size_t aGateway = 0)
  {
    mWays[aGateway]->mStoreDown = aDown;
  }

  GatewayProcess& Gateway(std::size_t aNumber = 0) const
  {
    return *mWays[aNumber]->mGateway;
  }

  // Sends bytes to the first gateway on a new connection and reads one answer.
  CallerAnswer Call(const std::string& aBytes) const;

  // A request to the route "/plain/", "/unsafe/", "/stream/", or "/brief/" that
  // has a short time limit.
  static std::string Request(const std::string& aRoute,
                             const std::string& aId,
                             const std::string& aFields = std::string(),
                             const std::string& aBody = "body");

  std::vector<RunnerRequest> Requests();

  // Requests that runners began to run.
  std::vector<RunnerRequest> Runs();

  // Whole body of the stream of a request.
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

  // One gateway and its way to the store.
  struct Way
  {
    int mStorePort = 0;
    std::unique_ptr<quetzalquay::SmallServer> mStore;
    std::atomic<bool> mStoreDown{ false };
    std::unique_ptr<GatewayProcess> mGateway;
  };

  static quetzalquay::SmallReply Refusal();
  quetzalquay::SmallReply AnswerStore(const quetzalquay::HttpHead& aHead,
                                      const std::string& aBody);
  void Transact(const std::string& aBody);
  void Write(const std::string& aTable,
             const std::string& aKey,
             const std::string& aValue,
             bool aRemoved);

  quetzalquay::EventLoop mLoop;
  std::vector<std::unique_ptr<Way>> mWays;
  std::map<std::string, std::unique_ptr<Runner>> mRunners;
  std::mutex mMutex;
  std::map<std::string, std::map<std::string, Row>> mTables;
  long long mVersion = 0;
  std::vector<RunnerRequest> mRequests;
  std::vector<RunnerRequest> mRuns;
  std::vector<std::string> mAbandoned;
  // Runs the stand-ins; stops before they are destroyed.
  std::optional<LoopThread> mThread;
};

#endif // QUETZALQUAY_TESTS_FAKES_GATEWAYWORLD_H_INCLUDED
