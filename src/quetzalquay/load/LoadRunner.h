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

// Runs one load experiment: sends the configured mix of requests, injects the
// faults at their times, and finally collects the records of all targets.
class LoadRunner
{
public:
  // aSettings must be valid and must outlive this object.
  explicit LoadRunner(const schema::LoadSettings& aSettings);

  // Runs the experiment and returns its recorded history. It always ends,
  // because every request is bounded by its deadline.
  schema::History Run();

  // Times between tokens of all requests, in milliseconds.
  const std::vector<float>& TokenGapsMs() const { return mTokenGapsMs; }

  // Duration of the run in seconds.
  double DurationSeconds() const { return mDurationSeconds; }

private:
  PlannedRequest PlanRequest(int aNumber) const;
  void RunCaller();
  void RunFaults();
  void InjectFault(const schema::LoadFault& aFault, std::mt19937& aRandom);
  void WaitForArrival(int aNumber) const;
  schema::TargetRecords ReadTargetRecords(int aTarget) const;
  void ReadInitialRecords();
  void CollectTargetRecords();

  const schema::LoadSettings& mSettings;
  CallerClient mClient;
  std::vector<double> mArrivalSeconds;
  std::atomic<int> mNextRequest{ 0 };
  std::atomic<bool> mFinished{ false };
  std::mutex mMutex;
  schema::History mHistory;
  std::vector<float> mTokenGapsMs;
  // Records that each target held before this run.
  std::vector<schema::TargetRecords> mInitialRecords;
  Time mStartTime;
  double mDurationSeconds = 0;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_LOAD_LOADRUNNER_H_INCLUDED
