#include "standin/EngineOrders.h"

#include "standin/EngineBatch.h"

#include <chrono>
#include <set>

namespace quetzalquay {

EngineOrders::EngineOrders(const schema::StandinEngineSettings& aSettings,
                           EngineBatch& aBatch)
  : mSettings(aSettings)
  , mBatch(aBatch)
{
  mOrder.set_role("serve");
  for (const auto& it : aSettings.versions()) {
    auto* model = mOrder.add_models();
    model->set_model(aSettings.model());
    model->set_version(it);
  }
}

EngineOrders::~EngineOrders()
{
  if (mLoadThread.joinable()) {
    mLoadThread.join();
  }
}

std::optional<unsigned>
EngineOrders::Apply(const schema::EngineOrder& aOrder)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  if (mSettings.checks_fence() && aOrder.fence() < mOrder.fence()) {
    return mOrder.fence();
  }
  mOrder = aOrder;
  std::set<std::string> wanted;
  for (const auto& it : aOrder.models()) {
    wanted.insert(it.version());
  }
  const std::set<std::string> loaded = mBatch.Versions();
  std::set<std::string> kept;
  for (const auto& it : loaded) {
    if (wanted.count(it) != 0) {
      kept.insert(it);
    }
  }
  mBatch.SetVersions(kept);
  if (kept == wanted) {
    return std::nullopt;
  }
  if (mLoadThread.joinable()) {
    mLoadThread.join();
  }
  const Time loadedAt = std::chrono::steady_clock::now() +
                        std::chrono::milliseconds(mSettings.load_version_ms());
  mLoadedAt = loadedAt;
  mLoadThread = std::thread([this, wanted, loadedAt] {
    std::this_thread::sleep_until(loadedAt);
    mBatch.SetVersions(wanted);
  });
  return std::nullopt;
}

schema::EngineOrder
EngineOrders::Current() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mOrder;
}

std::string
EngineOrders::State() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  if (mLeaving) {
    return "leaving";
  }
  const bool loading = std::chrono::steady_clock::now() < mLoadedAt;
  return loading ? "loading" : "ready";
}

void
EngineOrders::SetLeaving(bool aLeaving)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mLeaving = aLeaving;
}

} // namespace quetzalquay
