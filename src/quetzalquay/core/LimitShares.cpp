#include "core/LimitShares.h"

#include <algorithm>
#include <cmath>

namespace quetzalquay {

namespace {

// Time constant of the exponential moving average of arrivals.
constexpr double kAveragingSeconds = 5.0;

// Time after which a peer's reported demand is ignored.
constexpr Duration kPeerDemandLifetime = std::chrono::seconds(15);

// Fraction of an even share that every router keeps, so that a workspace's
// first requests at a new router are not rejected.
constexpr double kMinShareFraction = 0.25;

// Minimum demand, in requests per second, that is reported to peers.
constexpr double kMinReportedRate = 0.05;

// Maximum number of demands that are reported to peers.
constexpr std::size_t kMaxReportedDemands = 16;

} // namespace

LimitShares::LimitShares(int aRouters)
  : mRouters(std::max(1, aRouters))
{
}

void
LimitShares::OnArrival(const std::string& aWorkspace, Time aNow)
{
  LocalRate& localRate = mLocalRates[aWorkspace];
  localRate.mRate = RateAt(localRate, aNow) + 1.0 / kAveragingSeconds;
  localRate.mAt = aNow;
}

void
LimitShares::OnPeerDemand(const std::string& aPeer,
                          const std::map<std::string, double>& aDemand,
                          Time aNow)
{
  mPeers[aPeer] = { aDemand, aNow };
}

double
LimitShares::ShareOf(const std::string& aWorkspace, Time aNow)
{
  const auto found = mLocalRates.find(aWorkspace);
  const double localRate =
    found == mLocalRates.end() ? 0 : RateAt(found->second, aNow);
  double sum = localRate;
  int routersKnown = 1;
  for (const auto& it : mPeers) {
    if (aNow - it.second.mAt >= kPeerDemandLifetime) {
      continue;
    }
    ++routersKnown;
    const auto demand = it.second.mDemand.find(aWorkspace);
    sum += demand == it.second.mDemand.end() ? 0 : demand->second;
  }
  const double evenShare = 1.0 / mRouters;
  if (routersKnown == 1 || sum <= 0) {
    return evenShare;
  }
  const double totalRate = sum / routersKnown * mRouters;
  const double minShare = evenShare * kMinShareFraction;
  // Only the remainder after the minimum shares is divided by demand.
  return minShare +
         (1.0 - kMinShareFraction) * std::min(1.0, localRate / totalRate);
}

std::vector<LimitShares::Demand>
LimitShares::OwnDemand(Time aNow)
{
  std::vector<Demand> demands;
  for (const auto& it : mLocalRates) {
    const double rate = RateAt(it.second, aNow);
    if (rate >= kMinReportedRate) {
      demands.push_back({ it.first, rate });
    }
  }
  std::sort(demands.begin(),
            demands.end(),
            [](const Demand& aLeft, const Demand& aRight) {
              return aLeft.mRate > aRight.mRate;
            });
  if (demands.size() > kMaxReportedDemands) {
    demands.resize(kMaxReportedDemands);
  }
  return demands;
}

double
LimitShares::RateAt(const LocalRate& aLocal, Time aNow)
{
  const std::chrono::duration<double> elapsed = aNow - aLocal.mAt;
  return aLocal.mRate * std::exp(-elapsed.count() / kAveragingSeconds);
}

} // namespace quetzalquay
