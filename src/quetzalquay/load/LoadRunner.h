#ifndef QUETZALQUAY_LOAD_LOADRUNNER_H_INCLUDED
#define QUETZALQUAY_LOAD_LOADRUNNER_H_INCLUDED

#include "generated/messages.pb.h"
#include "generated/settings.pb.h"
#include "load/CallerClient.h"

#include <atomic>
#include <mutex>
#include <random>
#include <vector>

namespace quetzalquay {

// Runs one experiment: the callers' mix, the faults at their times, and the
// records of all targets at the end.
class LoadRunner
{
public:
  // aSettings has passed its checks and must outlive this object.
  explicit LoadRunner(const schema::LoadSettings& aSettings);

  // Runs to the end and returns what was recorded. All requests are bounded by
  // their deadlines, so this always ends.
  schema::History Run();

  // Times between tokens in milliseconds, over all requests.
  const std::vector<float>& Gaps() const { return mGaps; }

  // Length of the run in seconds.
  double Seconds() const { return mSeconds; }

private:
  CallerPlan PlanRequest(int aNumber) const;
  void WorkClosedLoop();
  void RunFaults();
  void Inject(const schema::LoadFault& aFault, std::mt19937& aRandom);
  void WaitForArrival(int aNumber) const;
  schema::TargetRecords ReadRecords(int aTarget) const;
  void NoteTargetsBefore();
  void CollectTargets();

  const schema::LoadSettings& mSettings;
  CallerClient mClient;
  std::vector<double> mArrivals;
  std::atomic<int> mNext{ 0 };
  std::atomic<bool> mOver{ false };
  std::mutex mMutex;
  schema::History mHistory;
  std::vector<float> mGaps;
  // What each target had done before this run.
  std::vector<schema::TargetRecords> mBefore;
  Time mBegun;
  double mSeconds = 0;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_LOAD_LOADRUNNER_H_INCLUDED
