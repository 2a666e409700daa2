#ifndef QUETZALQUAY_TESTS_FAKES_GATEWAYPROCESS_H_INCLUDED
#define QUETZALQUAY_TESTS_FAKES_GATEWAYPROCESS_H_INCLUDED

#include "http/HttpReader.h"

#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

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

// A port of a loopback address that nothing listens on, another one each time.
int
FreePort(const std::string& aIp = "127.0.0.1");

// One gateway process, killed at the end.
class GatewayProcess
{
public:
  // aIp is its own loopback address. aLoadPort is the same for all gateways
  // that work together; aPeers has the address at which each of them answers
  // the others, this one's at aNumber.
  GatewayProcess(std::string aName,
                 std::string aPlace,
                 std::string aIp,
                 int aLoadPort,
                 const std::vector<std::string>& aPeers,
                 std::size_t aNumber,
                 const std::string& aStore);
  ~GatewayProcess();
  GatewayProcess(const GatewayProcess&) = delete;
  GatewayProcess& operator=(const GatewayProcess&) = delete;

  // Sends bytes on a new connection and reads one answer.
  CallerAnswer Call(const std::string& aBytes) const;

  // Sends bytes on a new connection, waits for the first bytes of an answer and
  // closes it.
  void CallAndLeave(const std::string& aBytes) const;

  // Status of the readiness check.
  int Readiness() const;

  // Text of the metrics.
  std::string Metrics() const;

  // Value of a metric as it is written, empty when there is none.
  std::string Metric(const std::string& aName) const;

  void Signal(int aSignal) const;

  // Waits for the end; the exit code.
  int AwaitExit();

  bool IsRunning() const { return mProcess > 0; }

  const std::string& Name() const { return mName; }

private:
  int Connect(int aPort, const std::string& aBytes) const;
  CallerAnswer CallPort(int aPort, const std::string& aBytes) const;

  std::string mName;
  std::string mIp;
  // Callers, readiness, metrics.
  std::vector<int> mPorts;
  std::string mSettings;
  pid_t mProcess = -1;
};

// A call that waits for its answer in a thread of its own.
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

  // Waits for the answer.
  const CallerAnswer& Answer()
  {
    mThread.join();
    return mAnswer;
  }

private:
  CallerAnswer mAnswer;
  std::thread mThread;
};

#endif // QUETZALQUAY_TESTS_FAKES_GATEWAYPROCESS_H_INCLUDED
