#ifndef QUETZALQUAY_STANDIN_ENGINEORDERS_H_INCLUDED
#define QUETZALQUAY_STANDIN_ENGINEORDERS_H_INCLUDED

#include "core/Time.h"
#include "generated/messages.pb.h"
#include "generated/settings.pb.h"

#include <mutex>
#include <optional>
#include <string>
#include <thread>

namespace quetzalquay {

class EngineBatch;

// Applies the orders that set which versions a stand-in engine has loaded. If
// configured, rejects orders with an outdated fencing token.
class EngineOrders
{
public:
  // Both arguments must outlive this object.
  EngineOrders(const schema::StandinEngineSettings& aSettings,
               EngineBatch& aBatch);
  ~EngineOrders();

  // Applies an order: unloads versions at once and loads new ones in the
  // background. Returns the current, newer fencing token if the order is
  // rejected.
  std::optional<unsigned> Apply(const schema::EngineOrder& aOrder);

  // Order in force; at first, the versions in the settings.
  schema::EngineOrder Current() const;

  // "ready", "loading" or "leaving".
  std::string State() const;

  // Sets whether the engine reports that it will stop.
  void SetLeaving(bool aLeaving);

private:
  const schema::StandinEngineSettings& mSettings;
  EngineBatch& mBatch;
  mutable std::mutex mMutex;
  schema::EngineOrder mOrder;
  Time mLoadedAt;
  bool mLeaving = false;
  std::thread mLoadThread;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_STANDIN_ENGINEORDERS_H_INCLUDED
