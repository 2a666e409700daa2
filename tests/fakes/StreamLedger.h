#ifndef QUETZALQUAY_TESTS_FAKES_STREAMLEDGER_H_INCLUDED
#define QUETZALQUAY_TESTS_FAKES_STREAMLEDGER_H_INCLUDED

#include "GatewayTestCluster.h"

#include "core/Time.h"

#include <string>
#include <vector>

// One event of a stream as its caller received it.
struct StreamPiece
{
  int mId = 0;
  // Software version of the runner that wrote it.
  std::string mVersion;
  // Body of the request that it was written for.
  std::string mBody;
};

// One attempt of a caller to get a stream, or the rest of it.
struct StreamAttempt
{
  std::string mRequestId;
  std::size_t mHost = 0;
  quetzalquay::Time mSentAt;
  quetzalquay::Time mEndedAt;
  quetzalquay::Time mDeadline;
  // Last event that the caller had before; 0 if there was none.
  int mAfterEvent = 0;
  // Whether the host was sound all the while.
  bool mHostSound = false;
  // Whether two runners that the hosts know served all the while, of the
  // stream's software version if it had begun.
  bool mRunnersServed = false;
  CallerAnswer mAnswer;
  // Complete events of the answer.
  std::vector<StreamPiece> mPieces;

  bool IsComplete() const
  {
    return mAnswer.mComplete && mAnswer.mHead.mStatus == 200;
  }
};

// All attempts of a caller to get one stream, in order.
struct CallerStream
{
  // Body of all its requests.
  std::string mName;
  // Until when the caller tries.
  quetzalquay::Time mDeadline;
  std::vector<StreamAttempt> mAttempts;

  // Software version that wrote the first event; empty if there is none.
  std::string Version() const;

  // ID of the last event; 0 if there is none.
  int LastEvent() const;

  // ID of the attempt that brought the first event; empty if there is none.
  std::string FirstRequestId() const;

  bool IsComplete() const
  {
    return !mAttempts.empty() && mAttempts.back().IsComplete();
  }

  // Attempts in one line, for the figures of a test.
  std::string Describe(quetzalquay::Time aStart) const;
};

// Splits the body of a stream into its complete events.
std::vector<StreamPiece>
ParsePieces(const std::string& aBody);

// Streams that were asked for and those of them that went on.
struct StreamShare
{
  int mAsked = 0;
  int mServed = 0;
  // Attempts made for them.
  int mAttempts = 0;

  double Value() const
  {
    return mAsked == 0 ? 1 : static_cast<double>(mServed) / mAsked;
  }
};

// What the streams of a test show at their callers and at the runners.
struct StreamReport
{
  // Copies that were ordered, and runs that started from one.
  int mCopies = 0;
  int mCopyUses = 0;
  // Streams with events of two software versions.
  int mMixed = 0;
  // Runs that go on with a stream at a runner of another software version.
  int mMixedRuns = 0;
  // Copies that were ordered to, or used at, a runner of another software
  // version.
  int mMixedCopies = 0;
  // Streams that lack an event, have one twice, have one of another stream or
  // end as complete before their last event.
  int mDisordered = 0;
  // Successes without a runner's seal, or answers without the ID of their
  // request.
  int mUnsigned = 0;
  // Runs that no caller asked for, after an earlier event than the caller's
  // last one, or with another workspace or the key.
  int mMisattributed = 0;
  // Runs that were given more time than the caller had left, by over 0.5 s, at
  // the earliest time at which they can have arrived.
  int mOverlong = 0;
  // Streams that callers began, and that they took up, at sound hosts while two
  // runners served.
  StreamShare mBegun;
  StreamShare mTakenUp;
  // Streams, and those with all events.
  int mStreams = 0;
  int mComplete = 0;
  // Description of each fault, one a line.
  std::string mFaults;
  // The same of each run that would be overlong if it had arrived when it was
  // read. The fakes or its runner stood still before.
  std::string mReadLate;
};

StreamReport
MakeReport(const std::vector<CallerStream>& aStreams,
           const std::vector<RunnerRequest>& aRequests,
           const std::vector<RunnerRequest>& aRuns);

#endif // QUETZALQUAY_TESTS_FAKES_STREAMLEDGER_H_INCLUDED
