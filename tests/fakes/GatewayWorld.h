#ifndef QUETZALQUAY_TESTS_FAKES_GATEWAYWORLD_H_INCLUDED
#define QUETZALQUAY_TESTS_FAKES_GATEWAYWORLD_H_INCLUDED

#include "http/EventLoop.h"
#include "http/HttpReader.h"
#include "http/SmallServer.h"
#include "http/Socket.h"

#include <atomic>
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

// Answer that a caller got.
struct CallerAnswer
{
  // Whether the answer was complete.
  bool mWhole = false;
  quetzalquay::HttpHead mHead;
  std::string mBody;
  // Whether the connection stayed open.
  bool mKept = false;
};

// A store and runners of the platform on loopback addresses, with one gateway
// process in front of them.
class GatewayWorld
{
public:
  // Starts everything; the gateway is ready when this returns.
  explicit GatewayWorld(int aRunners = 3);
  ~GatewayWorld();

  static constexpr int kEvents = 40;

  void SetMode(const std::string& aRunner, RunnerMode aMode);
  void SetAllModes(RunnerMode aMode);

  // Puts a configuration in force and waits until the gateway has it.
  void Configure(const std::string& aKey);

  // Sets a runner's entry; empty removes it.
  void SetEntry(const std::string& aRunner, const std::string& aValue);

  // Address of a runner, and the runner at an address.
  std::string AddressOf(const std::string& aRunner) const;
  std::string RunnerAt(const std::string& aAddress) const;

  // Answers all store calls with 503 while set.
  void SetStoreDown(bool aDown) { mStoreDown = aDown; }

  // Sends bytes on a new connection and reads one answer.
  CallerAnswer Call(const std::string& aBytes);

  // A request to the route "/plain/", "/unsafe/" or "/stream/".
  static std::string Request(const std::string& aRoute,
                             const std::string& aId,
                             const std::string& aFields = std::string(),
                             const std::string& aBody = "body");

  // Status of the readiness check.
  int Readiness();

  // Text of the gateway's metrics.
  std::string Metrics();

  // Sends a signal to the gateway.
  void Signal(int aSignal);

  // Waits for the gateway's end; its exit code.
  int AwaitExit();

  std::vector<RunnerRequest> Requests();

  // Requests that runners began to run.
  std::vector<RunnerRequest> Runs();

  // Whole body of the stream of a request.
  static std::string StreamBody();

  int Port() const { return mPorts[0]; }

private:
  class Runner;
  class RunnerConnection;

  struct Row
  {
    std::string mValue;
    long long mVersion = 0;
    bool mRemoved = false;
  };

  quetzalquay::SmallReply AnswerStore(const quetzalquay::HttpHead& aHead);
  void Write(const std::string& aTable,
             const std::string& aKey,
             const std::string& aValue,
             bool aRemoved);
  CallerAnswer CallPort(int aPort, const std::string& aBytes);

  quetzalquay::EventLoop mLoop;
  std::vector<int> mPorts;
  std::unique_ptr<quetzalquay::SmallServer> mStore;
  std::map<std::string, std::unique_ptr<Runner>> mRunners;
  std::mutex mMutex;
  std::map<std::string, std::map<std::string, Row>> mTables;
  long long mVersion = 0;
  std::atomic<bool> mStoreDown{ false };
  std::vector<RunnerRequest> mRequests;
  std::vector<RunnerRequest> mRuns;
  std::string mSettings;
  pid_t mGateway = -1;
  std::thread mThread;
};

#endif // QUETZALQUAY_TESTS_FAKES_GATEWAYWORLD_H_INCLUDED
