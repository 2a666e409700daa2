#ifndef QUETZALQUAY_CORE_OVERLOAD_REPORTEDLOAD_H_INCLUDED
#define QUETZALQUAY_CORE_OVERLOAD_REPORTEDLOAD_H_INCLUDED

#include "core/Time.h"

namespace quetzalquay {

// Longest queue of its own, in requests, with which a target still gets new
// requests. Beyond that they wait in the router, whose queue is fair.
constexpr int kMaxTargetQueue = 2;

// How many requests are at a target, as it has told last and as that has
// changed since. What a target tells is true for as long as its requests take:
// a queue of three short calls is gone after some milliseconds, and a host that
// takes it for a full second refuses calls that an idle target would serve.
// Performs no I/O; not thread-safe.
class ReportedLoad
{
public:
  // Time for which a report counts while it is not known how long requests
  // take.
  static constexpr Duration kLifetime = std::chrono::milliseconds(1000);

  // Records a report. aKnown is the number of requests of all hosts that this
  // host knows to be there.
  void OnReport(int aRunning, int aWaiting, int aKnown, Time aNow);

  // Records how long a call has taken whose answer told of aWaiting waiting
  // requests at a target with so many slots.
  void OnServed(Duration aTime, int aWaiting, int aSlots);

  // The target has died or has started again.
  void Clear();

  // Reported requests that wait at the target by now, at most: those that its
  // slots have served since are left out.
  int WaitingAt(int aSlots, Time aNow) const;

  // Requests at the target by now, with those that have come since the report
  // as far as this host knows of them.
  int LoadAt(int aKnown, int aSlots, Time aNow) const;

  // Time until so few requests wait that the target takes another one.
  Duration TimeUntilWaiting(int aWaiting, int aSlots, Time aNow) const;

  // Time that a request takes there; zero if not known.
  Duration ServiceTime() const { return mServiceTime; }

  int Reported() const { return mRunning + mWaiting; }
  int Waiting() const { return mWaiting; }
  Time At() const { return mAt; }

private:
  int ServedSince(int aSlots, Time aNow) const;

  int mRunning = 0;
  int mWaiting = 0;
  int mKnown = 0;
  Time mAt;
  Duration mServiceTime = Duration::zero();
};

} // namespace quetzalquay

#endif // QUETZALQUAY_CORE_OVERLOAD_REPORTEDLOAD_H_INCLUDED
