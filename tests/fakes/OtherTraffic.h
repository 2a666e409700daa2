#ifndef QUETZALQUAY_TESTS_FAKES_OTHERTRAFFIC_H_INCLUDED
#define QUETZALQUAY_TESTS_FAKES_OTHERTRAFFIC_H_INCLUDED

#include "GatewayTestCluster.h"

#include <atomic>
#include <functional>
#include <string>
#include <thread>
#include <vector>

// Requests with bodies of their own beside those that a test is about. Each
// thread sends one after the other to its gateway, each until it is answered
// with success.
class OtherTraffic
{
public:
  // Header fields of the request with an ID.
  using Fields = std::function<std::string(const std::string&)>;

  // Starts aThreads threads for each gateway of the cluster, which take turns
  // on aRoutes.
  explicit OtherTraffic(const GatewayTestCluster& aCluster,
                        std::vector<std::string> aRoutes = { "/plain/",
                                                             "/stream/" },
                        int aThreads = 1,
                        Fields aFields = nullptr);
  ~OtherTraffic() { Stop(); }
  OtherTraffic(const OtherTraffic&) = delete;
  OtherTraffic& operator=(const OtherTraffic&) = delete;

  void Stop();

  // Requests that were served, and answers that called one a crashing request.
  int ServedCount() const { return mServed; }
  int BlamedCount() const { return mBlamed; }

  // Requests that were sent, and those of them that were served at the first
  // attempt.
  int SentCount() const { return mSent; }
  int ServedAtOnceCount() const { return mServedAtOnce; }

private:
  void Run(std::size_t aGateway,
           int aThread,
           const GatewayTestCluster& aCluster);

  std::vector<std::string> mRoutes;
  Fields mFields;
  std::atomic<bool> mStopped{ false };
  std::atomic<int> mServed{ 0 };
  std::atomic<int> mBlamed{ 0 };
  std::atomic<int> mSent{ 0 };
  std::atomic<int> mServedAtOnce{ 0 };
  std::vector<std::thread> mThreads;
};

#endif // QUETZALQUAY_TESTS_FAKES_OTHERTRAFFIC_H_INCLUDED
