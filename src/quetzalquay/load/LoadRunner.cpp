#include "load/LoadRunner.h"

#include "core/Hash.h"
#include "wire/HttpClient.h"
#include "wire/Json.h"

#include <algorithm>
#include <chrono>
#include <thread>

namespace quetzalquay {

namespace {

constexpr Duration kFaultCheckInterval = std::chrono::milliseconds(5);
constexpr Duration kControlTimeout = std::chrono::seconds(10);

// Fault names of the stand-ins' control interface, indexed by FaultKind. The
// one of STORE_SLOW is not used: the stand-in platform calls it "slow".
constexpr const char* kFaultNames[] = {
  "die", "pause", "slow", "cut", "store_down", "store_slow", "lose_answers"
};

double
UnixMs()
{
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration<double, std::milli>(now).count();
}

std::vector<HttpAddress>
RouterAddresses(const schema::LoadSettings& aSettings)
{
  std::vector<HttpAddress> addresses;
  for (const auto& it : aSettings.routers()) {
    addresses.push_back({ it.address(), it.port() });
  }
  return addresses;
}

// Builds a prompt of random words. Its first 64 words are one of a few shared
// prefixes, so that prefix caches get hits.
std::string
MakePrompt(int aTokens, std::mt19937& aRandom)
{
  static constexpr unsigned kSharedPrefixes = 40;
  const unsigned prefix = aRandom() % kSharedPrefixes;
  std::string prompt;
  for (int n = 0; n < aTokens; ++n) {
    const bool shared = n < 64;
    const auto word =
      shared ? StableHash("w", prefix * 1000 + n) % 997 : aRandom() % 997;
    prompt += "w" + std::to_string(word) + " ";
  }
  return prompt;
}

} // namespace

LoadRunner::LoadRunner(const schema::LoadSettings& aSettings)
  : mSettings(aSettings)
  , mClient(RouterAddresses(aSettings))
{
  std::mt19937 random(aSettings.seed());
  double at = 0;
  for (int n = 0; n < aSettings.requests(); ++n) {
    mArrivalSeconds.push_back(at);
    if (aSettings.arrivals_per_second() > 0) {
      std::exponential_distribution<double> pause(
        aSettings.arrivals_per_second());
      at += pause(random);
    }
  }
}

schema::History
LoadRunner::Run()
{
  mHistory.set_seed(mSettings.seed());
  ReadInitialRecords();
  mStartTime = std::chrono::steady_clock::now();
  std::thread faults([this] { RunFaults(); });
  std::vector<std::thread> workers;
  workers.reserve(static_cast<std::size_t>(mSettings.concurrency()));
  for (int n = 0; n < mSettings.concurrency(); ++n) {
    workers.emplace_back([this] { RunCaller(); });
  }
  for (std::thread& it : workers) {
    it.join();
  }
  mDurationSeconds =
    std::chrono::duration<double>(std::chrono::steady_clock::now() - mStartTime)
      .count();
  mFinished.store(true);
  faults.join();
  CollectTargetRecords();
  return mHistory;
}

PlannedRequest
LoadRunner::PlanRequest(int aNumber) const
{
  std::mt19937 random(mSettings.seed() * 1000003U +
                      static_cast<unsigned>(aNumber));
  int shares = 0;
  for (const auto& it : mSettings.mix()) {
    shares += it.share();
  }
  int pick = static_cast<int>(random() % static_cast<unsigned>(shares));
  int kind = 0;
  while (pick >= mSettings.mix(kind).share()) {
    pick -= mSettings.mix(kind).share();
    ++kind;
  }
  PlannedRequest plan;
  plan.mKind = &mSettings.mix(kind);
  plan.mIdempotencyKey = "k-" + std::to_string(mSettings.seed()) + "-" +
                         std::to_string(aNumber) + "-" +
                         std::to_string(mStartTime.time_since_epoch().count());
  plan.mPrompt = MakePrompt(std::max(1, plan.mKind->prompt_tokens()), random);
  plan.mSeed = static_cast<unsigned>(random());
  plan.mFirstRouter =
    random() % static_cast<unsigned>(mSettings.routers_size());
  return plan;
}

void
LoadRunner::RunCaller()
{
  for (;;) {
    const int number = mNextRequest.fetch_add(1);
    if (number >= mSettings.requests()) {
      return;
    }
    WaitForArrival(number);
    const PlannedRequest plan = PlanRequest(number);
    std::vector<float> gaps;
    const schema::CallerRecord record = mClient.Run(plan, gaps);
    const std::lock_guard<std::mutex> lock(mMutex);
    *mHistory.add_callers() = record;
    mTokenGapsMs.insert(mTokenGapsMs.end(), gaps.begin(), gaps.end());
  }
}

void
LoadRunner::WaitForArrival(int aNumber) const
{
  const std::chrono::duration<double> after(
    mArrivalSeconds[static_cast<std::size_t>(aNumber)]);
  std::this_thread::sleep_until(mStartTime +
                                std::chrono::duration_cast<Duration>(after));
}

void
LoadRunner::RunFaults()
{
  std::mt19937 random(mSettings.seed() + 1);
  std::vector<int> nextAtMs;
  for (const auto& it : mSettings.faults()) {
    nextAtMs.push_back(it.at_ms());
  }
  while (!mFinished.load()) {
    const double elapsedMs =
      ToMilliseconds(std::chrono::steady_clock::now() - mStartTime);
    for (int n = 0; n < mSettings.faults_size(); ++n) {
      const auto& fault = mSettings.faults(n);
      int& atMs = nextAtMs[static_cast<std::size_t>(n)];
      if (atMs < 0 || elapsedMs < atMs) {
        continue;
      }
      InjectFault(fault, random);
      atMs = fault.every_ms() > 0 ? atMs + fault.every_ms() : -1;
    }
    std::this_thread::sleep_for(kFaultCheckInterval);
  }
}

void
LoadRunner::InjectFault(const schema::LoadFault& aFault, std::mt19937& aRandom)
{
  int target = aFault.target();
  if (aFault.random_target()) {
    target = static_cast<int>(aRandom() %
                              static_cast<unsigned>(mSettings.targets_size()));
  }
  const bool store = aFault.kind() >= schema::STORE_DOWN;
  const auto& endpoint =
    store ? mSettings.platform() : mSettings.targets(target);
  schema::FaultOrder order;
  order.set_kind(
    aFault.kind() == schema::STORE_SLOW ? "slow" : kFaultNames[aFault.kind()]);
  order.set_for_ms(aFault.for_ms());
  order.set_factor(aFault.factor());
  HttpCallSpec spec;
  spec.mMethod = "POST";
  spec.mPath = "/faults";
  spec.mBody = ToCompactJson(order);
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    auto* record = mHistory.add_faults();
    record->set_kind(order.kind());
    record->set_where(endpoint.address());
    record->set_at(UnixMs());
    record->set_for_ms(aFault.for_ms());
  }
  HttpCall call(HttpAddress{ endpoint.address(), endpoint.port() });
  call.Run(spec);
}

schema::TargetRecords
LoadRunner::ReadTargetRecords(int aTarget) const
{
  const auto& endpoint = mSettings.targets(aTarget);
  HttpCallSpec spec;
  spec.mPath = "/records";
  spec.mReadTimeout = kControlTimeout;
  HttpCall call(HttpAddress{ endpoint.address(), endpoint.port() });
  schema::TargetRecords records;
  ParseJson(call.Run(spec).mBody, UnknownFields::Ignore, records);
  return records;
}

void
LoadRunner::ReadInitialRecords()
{
  for (int n = 0; n < mSettings.targets_size(); ++n) {
    mInitialRecords.push_back(ReadTargetRecords(n));
  }
}

void
LoadRunner::CollectTargetRecords()
{
  for (int n = 0; n < mSettings.targets_size(); ++n) {
    const schema::TargetRecords& before =
      mInitialRecords[static_cast<std::size_t>(n)];
    const schema::TargetRecords after = ReadTargetRecords(n);
    for (int i = before.records_size(); i < after.records_size(); ++i) {
      *mHistory.add_targets() = after.records(i);
    }
    mHistory.set_decode_tokens(mHistory.decode_tokens() +
                               after.decode_tokens() - before.decode_tokens());
    mHistory.set_prefill_tokens(mHistory.prefill_tokens() +
                                after.prefill_tokens() -
                                before.prefill_tokens());
  }
}

} // namespace quetzalquay
