#ifndef QUETZALQUAY_GATEWAY_PROBER_H_INCLUDED
#define QUETZALQUAY_GATEWAY_PROBER_H_INCLUDED

#include "core/GenerationActions.h"
#include "gateway/TargetCall.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace quetzalquay {

// Finds out whether a target still works. Bytes that came from it lately on any
// connection are proof enough; otherwise it is asked, once for all that wait.
class Prober
{
public:
  // Gets the result, and the target's report where it was asked for one.
  using Receiver =
    std::function<void(ProbeResult, const platform::TargetReport*)>;

  Prober(EventLoop& aLoop, Fleet& aFleet, TargetPool& aPool);
  ~Prober();

  // The receiver is called once, at aBy at the latest, and never from within.
  // With aReport the target is asked in any case.
  void Probe(const std::string& aTarget,
             bool aReport,
             Time aBy,
             Receiver aReceiver);

  // Another target answers at the address of a known one: finds out whether it
  // can take its place, and tells the fleet.
  void Identify(const std::string& aOld, const std::string& aNew);

  // Questions that were asked since the start.
  std::uint64_t Asked() const { return mAsked; }

private:
  // One question that is under way, and those that wait for its result.
  struct Question
  {
    std::string mIncarnation;
    std::vector<Receiver> mReceivers;
  };

  void OnAnswer(const std::string& aTarget,
                const TargetCall::Outcome& aOutcome);
  void OnIdentified(const std::string& aOld,
                    const std::string& aNew,
                    const TargetCall::Outcome& aOutcome);
  void Settle(const std::string& aTarget,
              ProbeResult aResult,
              const platform::TargetReport* aReport);

  EventLoop& mLoop;
  Fleet& mFleet;
  TargetPool& mPool;
  std::map<std::string, Question> mQuestions;
  // Newly found targets that have been asked what they are.
  std::set<std::string> mIdentifications;
  std::uint64_t mAsked = 0;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_GATEWAY_PROBER_H_INCLUDED
