#ifndef QUETZALQUAY_CORE_ROLLOUT_ROLLOUTORDER_H_INCLUDED
#define QUETZALQUAY_CORE_ROLLOUT_ROLLOUTORDER_H_INCLUDED

#include "core/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace quetzalquay {

// An operator's order to move a service to targets of another version.
struct RolloutOrder
{
  std::string mService;
  // Version to move to.
  std::string mVersion;
  // Equal on all hosts for the same order. A store that comes back from an
  // older copy gives the order's row another version, but not another ID.
  std::uint64_t mId = 0;
  // When the order was given, as far as any host knows, and when it has to be
  // carried out.
  Time mStartedAt;
  Time mDeadline;
  // Whether this host has seen the order being given, so that there can be no
  // record of its end. A host that has just started may read an old order.
  bool mSeenGiven = false;
};

// How far a rollout is. The stages follow each other in this order, except that
// RolledBack may follow any but Completed. The last two are final.
enum class RolloutStage
{
  // A few requests try the new version.
  Trial,
  // A growing share of the requests, in the end all of them.
  Shift,
  Completed,
  RolledBack,
};

// Name of a stage in logs and messages.
std::string_view
NameOf(RolloutStage aStage);

// Stage with the given name; nothing if there is none.
std::optional<RolloutStage>
RolloutStageOf(std::string_view aName);

inline bool
IsFinal(RolloutStage aStage)
{
  return aStage == RolloutStage::Completed ||
         aStage == RolloutStage::RolledBack;
}

// Bounds that the operators set for all rollouts.
struct RolloutBounds
{
  // A bad version gets at most this share of the requests that reach its
  // service during the order, plus mExposureSlack requests.
  double mExposureShare = 0.1;
  int mExposureSlack = 50;
};

// What the keeper of a rollout tells the hosts.
struct RolloutDirective
{
  std::string mService;
  std::uint64_t mOrder = 0;
  // Version that the order names, and the time left until its deadline, for a
  // host that has not read the order yet.
  std::string mVersion;
  Duration mLeft = Duration::zero();
  RolloutStage mStage = RolloutStage::Trial;
  // Share of the requests that goes to the new version, from 0 to 1.
  double mShare = 0;
  // Time since the order was given.
  Duration mAge = Duration::zero();
  // Requests that have reached the service since, and those among them that the
  // new version got, for a keeper that takes over.
  std::int64_t mRequests = 0;
  std::int64_t mExposed = 0;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_CORE_ROLLOUT_ROLLOUTORDER_H_INCLUDED
