#ifndef QUETZALQUAY_TESTS_FAKES_GATEWAYPROCESS_H_INCLUDED
#define QUETZALQUAY_TESTS_FAKES_GATEWAYPROCESS_H_INCLUDED

#include "http/HttpReader.h"

#include <array>
#include <atomic>
#include <chrono>
#include <csignal>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

// Response received by a caller.
struct CallerAnswer
{
  // Whether the response was complete.
  bool mComplete = false;
  quetzalquay::HttpHead mHead;
  std::string mBody;
  // Whether the response keeps the connection open.
  bool mConnectionKept = false;
};

// Settings of a gateway process that tests vary.
struct GatewayTestSettings
{
  int mMaxConnections = 4100;
  int mStopGraceS = 8;
  // Descriptors that the process may open once it is ready, 0 for the limit of
  // the test. It has started with all that the settings promise.
  int mDescriptors = 0;
  // Memory that the settings grant the process, in MB, 0 for none. Nothing but
  // the settings tells the process of it, and it is killed above.
  int mMemoryMb = 0;
  double mRetryRatio = 0.8;
  int mRetryAllowance = 150;
  // Whether standard output is a pipe that is full and that nobody reads.
  bool mUnreadLog = false;
  // Most bytes of the log's file, 0 for no limit.
  int mLogFileBytes = 0;
  // Whether the process starts without standard input, output and error.
  bool mClosesStandardDescriptors = false;
  // Whether the process inherits that all signals are blocked.
  bool mBlocksSignals = false;
  // Binary of each process; empty for that of the test.
  std::string mBinary{};
  // Links by which the process reaches the runners, as "IP:PORT,PORT,..." for
  // tests/preload/RunnerLinks.cpp; empty if it reaches them without. They stay
  // for the life of the object.
  std::string mLinks{};
};

// Forks this process, but not while another thread looks for a free port.
pid_t
ForkProcess();

// Finds a port of a loopback address on which nothing listens; never returns
// the same port twice.
int
FindFreePort(const std::string& aIp = "127.0.0.1");

// One gateway process; the destructor kills it.
class GatewayProcess
{
public:
  // aIp is the gateway's own loopback address. aLoadPort and aRelayPort are
  // shared by all gateways of a test; aPeers has their peer addresses, this
  // one's at aIndex.
  GatewayProcess(std::string aName,
                 const std::string& aPlace,
                 std::string aIp,
                 int aLoadPort,
                 int aRelayPort,
                 const std::vector<std::string>& aPeers,
                 std::size_t aIndex,
                 const std::string& aStore,
                 const GatewayTestSettings& aSettings = GatewayTestSettings());
  ~GatewayProcess();
  GatewayProcess(const GatewayProcess&) = delete;
  GatewayProcess& operator=(const GatewayProcess&) = delete;

  // Sends bytes on a new connection and reads one response. The response is
  // empty if the connection fails.
  CallerAnswer Call(const std::string& aBytes) const;

  // Opens a connection as a caller and returns its blocking socket, or -1 on
  // failure. A positive aReceiveBytes limits what it holds of unread bytes.
  int ConnectCaller(int aReceiveBytes = 0) const;

  // Address of the gateway, and its ports for callers, readiness checks and
  // metrics.
  const std::string& Ip() const { return mIp; }
  int CallerPort() const { return mPorts[0]; }
  int ReadinessPort() const { return mPorts[1]; }
  int MetricsPort() const { return mPorts[2]; }

  // Rewrites the settings file; the process reads it on SIGHUP or at its next
  // start.
  void ChangeSettings(const GatewayTestSettings& aSettings);

  // The same for single fields: another store, and other ports for callers,
  // readiness checks and metrics.
  void SetStore(const std::string& aAddress);
  void MovePorts();

  // Cuts the settings file off in the middle, and writes it again.
  void TruncateSettings() const;
  void WriteSettings() const;

  // Sends bytes on a new connection, waits for the first byte of a response
  // and closes the connection.
  void CallAndDisconnect(const std::string& aBytes) const;

  // HTTP status of the readiness check.
  int Readiness() const;

  // Metrics in the Prometheus text format.
  std::string Metrics() const;

  // Value of a metric as text, empty if there is none.
  std::string Metric(const std::string& aName) const;

  // Takes the descriptors away that the settings of the test don't leave it.
  void LimitDescriptors() const;

  // Throws if the process has links and does not use them.
  void CheckLinks() const;

  void Signal(int aSignal) const;

  // Process of the running gateway.
  pid_t Pid() const { return mProcess; }

  // Stops the process as the platform does: with SIGTERM, and with SIGKILL
  // after the grace period of its settings. Returns its exit code, or -1 if a
  // signal ended it.
  int Stop();

  // Waits for the process to exit; returns its exit code, or -1 if a signal
  // ended it.
  int AwaitExit();

  // Whether the process was killed for its memory, since its last start.
  bool HasExceededMemory() const { return mExceededMemory; }

  bool IsRunning() const { return mProcess > 0; }

  // Largest resident memory of the process so far, in MB; 0 if it has ended.
  int PeakMemoryMb() const;

  // Ends the process by a signal, and starts it again with the same settings
  // when it has exited.
  void Restart(int aSignal = SIGKILL);

  // Starts the process again with the same settings after it has exited.
  void Start() { StartProcess(); }

  // Sets the binary of further starts; empty for that of the test.
  void SetBinary(const std::string& aPath) { mSettings.mBinary = aPath; }

  // Sets how long calls wait for a response.
  void SetCallTimeout(std::chrono::milliseconds aTimeout)
  {
    mCallTimeout = aTimeout;
  }

  const std::string& Name() const { return mName; }

private:
  void StartProcess();
  void OpenLog() const;
  void WatchMemory();
  void ReplaceInSettings(const std::string& aFrom, const std::string& aTo);
  int Connect(int aPort, const std::string& aBytes) const;
  CallerAnswer CallPort(int aPort, const std::string& aBytes) const;

  std::string mName;
  std::string mIp;
  // Ports for callers, readiness checks and metrics, in this order.
  std::vector<int> mPorts;
  std::string mSettingsFile;
  // Fields of the settings file that tests don't vary by mSettings.
  std::string mFixedSettings;
  std::string mStore;
  GatewayTestSettings mSettings;
  pid_t mProcess = -1;
  // Ends of a pipe that is never read; -1 if there is none.
  std::array<int, 2> mUnreadPipe{ -1, -1 };
  // Watches the memory of a process that has a limit.
  std::thread mWatch;
  std::atomic<bool> mWatching{ false };
  std::atomic<bool> mExceededMemory{ false };
  std::chrono::milliseconds mCallTimeout{ 20000 };
};

// A call that runs in its own thread.
class BackgroundCall
{
public:
  BackgroundCall(const GatewayProcess& aGateway, const std::string& aBytes)
    : mThread([this, &aGateway, aBytes] { mAnswer = aGateway.Call(aBytes); })
  {
  }
  ~BackgroundCall()
  {
    if (mThread.joinable()) {
      mThread.join();
    }
  }
  BackgroundCall(const BackgroundCall&) = delete;
  BackgroundCall& operator=(const BackgroundCall&) = delete;

  // Waits for the response.
  const CallerAnswer& AwaitAnswer()
  {
    mThread.join();
    return mAnswer;
  }

private:
  CallerAnswer mAnswer;
  std::thread mThread;
};

#endif // QUETZALQUAY_TESTS_FAKES_GATEWAYPROCESS_H_INCLUDED
