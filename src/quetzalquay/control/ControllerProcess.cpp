#include "control/ControllerProcess.h"

#include "control/PoolController.h"
#include "control/ResourceStore.h"
#include "control/ResourceTable.h"
#include "wire/Crypto.h"
#include "wire/OrderHttp.h"
#include "wire/PlatformHttp.h"

#include <atomic>
#include <chrono>
#include <map>
#include <thread>
#include <utility>

namespace quetzalquay {

namespace {

constexpr Duration kReconcileInterval = std::chrono::milliseconds(500);
constexpr int kIncarnationBytes = 6;

Time
Now()
{
  return std::chrono::steady_clock::now();
}

void
Sleep(Duration aPause)
{
  std::this_thread::sleep_for(aPause);
}

} // namespace

class ControllerProcess::Impl
{
public:
  explicit Impl(schema::ControllerSettings aSettings)
    : mSettings(std::move(aSettings))
    , mName(mSettings.name() + "-" + RandomHex(kIncarnationBytes))
    , mPlatform(HttpAddress{ mSettings.platform().address(),
                             mSettings.platform().port() },
                mSettings.name())
    , mResources(mPlatform, Now)
  {
  }

  void Start()
  {
    mThread = std::thread([this] {
      while (!mStopping.load()) {
        Reconcile();
        std::this_thread::sleep_for(kReconcileInterval);
      }
    });
  }

  void Stop()
  {
    mStopping.store(true);
    if (mThread.joinable()) {
      mThread.join();
    }
  }

private:
  void Reconcile()
  {
    AddPoolControllers();
    for (auto& it : mPoolControllers) {
      it.second->Reconcile();
    }
  }

  void AddPoolControllers()
  {
    ResourceTable table;
    std::string reason;
    if (mResources.Load(table) != StoreOutcome::Done) {
      return;
    }
    const auto configuration = table.Build(table.Revision(), reason);
    if (!configuration) {
      return;
    }
    for (const auto& it : configuration->services()) {
      if (it.kind() != schema::MODEL_POOL ||
          mPoolControllers.count(it.name()) != 0) {
        continue;
      }
      PoolControllerOptions options;
      options.mControllerName = mName;
      options.mService = it.name();
      options.mLeaseTime = std::chrono::milliseconds(mSettings.lease_ms());
      options.mOrderTime = std::chrono::milliseconds(mSettings.order_ms());
      options.mLimits.mMaxLoadingShare = mSettings.max_loading_share();
      options.mLimits.mMinReadyShare = mSettings.min_ready_share();
      mPoolControllers.emplace(it.name(),
                               std::make_unique<PoolController>(
                                 options, mPlatform, mOrders, Now, Sleep));
    }
  }

  schema::ControllerSettings mSettings;
  std::string mName;
  PlatformHttp mPlatform;
  ResourceStore mResources;
  OrderHttp mOrders;
  std::map<std::string, std::unique_ptr<PoolController>> mPoolControllers;
  std::atomic<bool> mStopping{ false };
  std::thread mThread;
};

ControllerProcess::ControllerProcess(schema::ControllerSettings aSettings)
  : mImpl(std::make_unique<Impl>(std::move(aSettings)))
{
}

ControllerProcess::~ControllerProcess() = default;

std::optional<std::string>
ControllerProcess::Start()
{
  mImpl->Start();
  return std::nullopt;
}

void
ControllerProcess::Stop()
{
  mImpl->Stop();
}

} // namespace quetzalquay
