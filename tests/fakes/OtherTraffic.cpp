#include "OtherTraffic.h"

#include <chrono>
#include <utility>

namespace {

// Sends of one request at most, and the time between two of them.
constexpr int kMaxSends = 40;
constexpr auto kSendInterval = std::chrono::milliseconds(50);

} // namespace

OtherTraffic::OtherTraffic(const GatewayTestCluster& aCluster,
                           std::vector<std::string> aRoutes,
                           int aThreads,
                           Fields aFields)
  : mRoutes(std::move(aRoutes))
  , mFields(std::move(aFields))
{
  for (std::size_t n = 0; n < aCluster.GatewayCount(); ++n) {
    for (int thread = 0; thread < aThreads; ++thread) {
      mThreads.emplace_back(
        [this, n, thread, &aCluster] { Run(n, thread, aCluster); });
    }
  }
}

void
OtherTraffic::Stop()
{
  mStopped = true;
  for (std::thread& it : mThreads) {
    if (it.joinable()) {
      it.join();
    }
  }
}

void
OtherTraffic::Run(std::size_t aGateway,
                  int aThread,
                  const GatewayTestCluster& aCluster)
{
  for (std::size_t n = 0; !mStopped; ++n) {
    const std::string id = "o" + std::to_string(aGateway) + "-" +
                           std::to_string(aThread) + "-" + std::to_string(n);
    const std::string request =
      GatewayTestCluster::Request(mRoutes[n % mRoutes.size()],
                                  id,
                                  mFields ? mFields(id) : std::string(),
                                  id);
    ++mSent;
    for (int send = 0; send < kMaxSends && !mStopped; ++send) {
      const auto answer = aCluster.Gateway(aGateway).Call(request);
      mBlamed += answer.mBody.find("suspected_poison") != std::string::npos;
      if (answer.mComplete && answer.mHead.mStatus == 200) {
        ++mServed;
        mServedAtOnce += send == 0 ? 1 : 0;
        break;
      }
      std::this_thread::sleep_for(kSendInterval);
    }
  }
}
