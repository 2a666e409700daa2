#ifndef QUETZALQUAY_TESTS_FAKES_KEPTCALLERS_H_INCLUDED
#define QUETZALQUAY_TESTS_FAKES_KEPTCALLERS_H_INCLUDED

#include "GatewayTestCluster.h"

#include <atomic>
#include <chrono>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <vector>

// How a request ended at its caller.
enum class CallerOutcome
{
  // With a complete answer.
  Answered,
  // The connection was not established, or ended before the whole request was
  // written.
  NotSent,
  // The connection was closed or reset before the answer was complete.
  Closed,
  // No complete answer at the deadline and some time after it.
  Unanswered,
};

// One request as its caller saw it.
struct CallerRequest
{
  std::string mId;
  std::string mPath;
  std::size_t mHost = 0;
  // Requests before it on the same connection.
  int mEarlierRequests = 0;
  // When the last byte of the request was written.
  quetzalquay::Time mSentAt;
  quetzalquay::Time mDeadline;
  quetzalquay::Time mEndedAt;
  CallerOutcome mOutcome = CallerOutcome::NotSent;
  // Bytes of the answer that were received.
  std::size_t mReceivedBytes = 0;
  // Whether the connection was reset, which also happens when it is closed with
  // bytes of the request unread.
  bool mReset = false;
  // Zero if no head was received.
  int mStatus = 0;
};

// Callers that reuse their connections, each with one request at a time. They
// respect "Connection: close", "Keep-Alive" and the idle timeout. New
// connections go to hosts in rotation: a host is out of rotation while two
// readiness checks in a row fail, which take place once a second.
class KeptCallers
{
public:
  // A kind of caller.
  struct Kind
  {
    std::string mPath;
    int mCallers = 1;
    // Longest pause between two requests of a caller.
    std::chrono::milliseconds mMaxPause{ 200 };
    // Pause between two reads of an answer.
    std::chrono::milliseconds mReadPause{ 0 };
    // Time for which a caller waits for an answer.
    std::chrono::milliseconds mDeadline{ 8000 };
    // Shortest pause between two requests of a caller.
    std::chrono::milliseconds mMinPause{ 0 };
  };

  struct Options
  {
    std::vector<Kind> mKinds;
    // Beginning of the IDs of the requests.
    std::string mName;
    unsigned mSeed = 1;
    // Whether each request has a body of its own, so that none is suspected of
    // crashes for others.
    bool mOwnBodies = false;
    // Whether requests are written in three pieces with short pauses.
    bool mInPieces = false;
  };

  KeptCallers(const GatewayTestCluster& aCluster, Options aOptions);
  ~KeptCallers();
  KeptCallers(const KeptCallers&) = delete;
  KeptCallers& operator=(const KeptCallers&) = delete;

  // Ends the callers as soon as their requests have ended.
  void Stop();

  // Requests that have ended.
  std::vector<CallerRequest> Requests();

  // Sets the idle timeout that callers expect. Connections are reused for four
  // fifths of it.
  void SetIdleTimeout(std::chrono::milliseconds aTimeout)
  {
    mIdleTimeoutMs = static_cast<int>(aTimeout.count());
  }

  // Lets callers send no further requests while set; they keep their
  // connections.
  void SetResting(bool aResting) { mResting = aResting; }

  // Sets the size of the requests' bodies.
  void SetBodyBytes(std::size_t aSize) { mBodyBytes = aSize; }

private:
  class Caller;

  void CheckReadiness();
  // A host in rotation, or any host if there is none.
  std::size_t ChooseHost(std::mt19937& aRandom) const;
  void Add(const CallerRequest& aRequest);

  const GatewayTestCluster& mCluster;
  const Options mOptions;
  std::vector<std::atomic<int>> mFailedChecks;
  std::atomic<int> mIdleTimeoutMs{ 15000 };
  std::atomic<std::size_t> mBodyBytes{ 4 };
  std::atomic<int> mNext{ 0 };
  std::atomic<bool> mResting{ false };
  std::atomic<bool> mStopped{ false };
  std::mutex mMutex;
  std::vector<CallerRequest> mRequests;
  std::vector<std::thread> mThreads;
};

#endif // QUETZALQUAY_TESTS_FAKES_KEPTCALLERS_H_INCLUDED
