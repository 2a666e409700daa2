#ifndef QUETZALQUAY_CORE_PASSEDONCALL_H_INCLUDED
#define QUETZALQUAY_CORE_PASSEDONCALL_H_INCLUDED

#include "core/Failure.h"
#include "core/NameTable.h"
#include "core/Time.h"

#include <string>
#include <vector>

namespace quetzalquay {

// How the attempt to have a request served by another host ended without an
// answer for its caller.
enum class PassedOnEnd
{
  // The host could not be connected to, so nothing was sent.
  Unreachable,
  // The host has stated that the request has not run there, and never will.
  Refused,
  // The host has stated that the request may have run there.
  Failed,
  // The connection ended, or the host fell silent, after the request was
  // written.
  Lost,
};

constexpr NameTable<PassedOnEnd, 4> kPassedOnEndNames(
  { "unreachable", "refused", "failed", "lost" });

// Decides for a request that is passed on to other hosts whether a further host
// may serve it, and what its caller is told otherwise. A request that may run
// at most once is never sent again once a host may have run it. Performs no
// I/O; not thread-safe.
class PassedOnCall
{
public:
  struct Options
  {
    // Whether the request may run again, or its stream be resumed.
    bool mRepeatable = false;
    // Maximum number of runs, 0 for no limit, and those that there may have
    // been before the request was passed on.
    int mMaxRuns = 0;
    int mRuns = 0;
    // Whether the request may have run before it was passed on.
    bool mMayHaveRun = false;
    Time mDeadline;
  };

  // Hosts that a request is sent to while none of them makes progress.
  static constexpr int kMaxHosts = 3;

  explicit PassedOnCall(const Options& aOptions)
    : mOptions(aOptions)
  {
  }

  // The request is about to be sent to a host.
  void OnTry(const std::string& aHost);

  // The request has waited. Hosts that failed before may be tried again.
  void OnWaited() { mTried.clear(); }

  // Whether the request may be sent to a host at all now.
  bool CanRun(Time aNow) const;

  // The host has delivered an event of the stream. Hosts that failed before may
  // be tried again.
  void OnProgress();

  // The host that has the request states its runs, with those before, while it
  // serves it.
  void OnRunsStated(int aRuns) { mStatedRuns = aRuns; }

  // The attempt has ended. aRuns is the number of runs, with those before, that
  // the host has stated with its failure, 0 if it has not; what it stated
  // before counts, too, and it made one at least. Returns whether the request
  // may be sent to another host.
  bool OnEnd(PassedOnEnd aEnd, Time aNow, int aRuns = 0);

  // Hosts that must not be tried again now.
  const std::vector<std::string>& Tried() const { return mTried; }

  // Attempts that may have run, and hosts that the request was sent to.
  int Runs() const { return mOptions.mRuns; }
  int Hosts() const { return mHosts; }

  // Whether the request may run again, or its stream be resumed, if the host
  // that has it now is given up.
  bool CanLeaveHost() const;

  // Whether a further host may be tried if the one that has the request now,
  // and may have run it, is given up.
  bool CanTryAnother(Time aNow) const;

  // What is known of the request's runs. aIsSent tells whether it has been
  // written to a host that may still run it.
  RunVerdict Verdict(bool aIsSent) const;

  // Failure of a request for which no further host is tried.
  Failure MakeFailure(FailureCode aCode, bool aIsSent) const;

private:
  bool HasHostsLeft(Time aNow) const;
  int RunsWithHost() const;

  Options mOptions;
  // Runs that the host which has the request has stated, 0 if it has not.
  int mStatedRuns = 0;
  std::vector<std::string> mTried;
  int mHosts = 0;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_CORE_PASSEDONCALL_H_INCLUDED
