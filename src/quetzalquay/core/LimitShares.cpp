#include "core/LimitShares.h"

#include <algorithm>
#include <cmath>

namespace quetzalquay {

namespace {

// Seconds over which arrivals are averaged.
constexpr double kAverageSeconds = 5.0;

// Time after which a peer's demand is forgotten.
constexpr Duration kPeerMemory = std::chrono::seconds(15);

// Part of an even share that every router keeps, so that a workspace's first
// requests at a new router are not refused.
constexpr double kLeastPart = 0.25;

// Requests a second below which a demand is not worth telling.
constexpr double kLeastTold = 0.05;

constexpr std::size_t kMaxTold = 16;

} // namespace

LimitShares::LimitShares(int aRouters)
  : mRouters(std::max(1, aRouters))
{
}

void
LimitShares::OnArrival(const std::string& aWorkspace, Time aNow)
{
  Own& own = mOwn[aWorkspace];
  own.mRate = RateAt(own, aNow) + 1.0 / kAverageSeconds;
  own.mAt = aNow;
}

void
LimitShares::OnPeer(const std::string& aPeer,
                    const std::map<std::string, double>& aDemand,
                    Time aNow)
{
  mPeers[aPeer] = { aDemand, aNow };
}

double
LimitShares::ShareOf(const std::string& aWorkspace, Time aNow)
{
  const auto found = mOwn.find(aWorkspace);
  const double own = found == mOwn.end() ? 0 : RateAt(found->second, aNow);
  double sum = own;
  int heard = 1;
  for (const auto& it : mPeers) {
    if (aNow - it.second.mAt >= kPeerMemory) {
      continue;
    }
    ++heard;
    const auto demand = it.second.mDemand.find(aWorkspace);
    sum += demand == it.second.mDemand.end() ? 0 : demand->second;
  }
  const double even = 1.0 / mRouters;
  if (heard == 1 || sum <= 0) {
    return even;
  }
  const double all = sum / heard * mRouters;
  const double least = even * kLeastPart;
  // What the least parts take is taken from the shares in proportion.
  return least + (1.0 - kLeastPart) * std::min(1.0, own / all);
}

std::vector<LimitShares::Demand>
LimitShares::OwnDemand(Time aNow)
{
  std::vector<Demand> demands;
  for (const auto& it : mOwn) {
    const double rate = RateAt(it.second, aNow);
    if (rate >= kLeastTold) {
      demands.push_back({ it.first, rate });
    }
  }
  std::sort(demands.begin(),
            demands.end(),
            [](const Demand& aLeft, const Demand& aRight) {
              return aLeft.mRate > aRight.mRate;
            });
  if (demands.size() > kMaxTold) {
    demands.resize(kMaxTold);
  }
  return demands;
}

double
LimitShares::RateAt(const Own& aOwn, Time aNow)
{
  const std::chrono::duration<double> passed = aNow - aOwn.mAt;
  return aOwn.mRate * std::exp(-passed.count() / kAverageSeconds);
}

} // namespace quetzalquay
