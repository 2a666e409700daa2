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

// Orders that a stand-in engine takes: which versions it holds. Refuses old
// fencing numbers if its settings say so.
class EngineOrders
{
public:
  // Both must outlive this object.
  EngineOrders(const schema::StandinEngineSettings& aSettings,
               EngineBatch& aBatch);
  ~EngineOrders();

  // Carries out an order; loading a version takes a while. Returns the newer
  // fencing number when the order is refused.
  std::optional<unsigned> Take(const schema::EngineOrder& aOrder);

  // The order in force.
  schema::EngineOrder Current() const;

  // "ready", "loading" or "leaving".
  std::string State() const;

  // Whether the engine says of itself that it will stop.
  void SetLeaving(bool aLeaving);

private:
  const schema::StandinEngineSettings& mSettings;
  EngineBatch& mBatch;
  mutable std::mutex mMutex;
  schema::EngineOrder mOrder;
  Time mLoadedAt;
  bool mLeaving = false;
  std::thread mLoading;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_STANDIN_ENGINEORDERS_H_INCLUDED
