#ifndef QUETZALQUAY_TESTS_FAKES_STREAMCALLERS_H_INCLUDED
#define QUETZALQUAY_TESTS_FAKES_STREAMCALLERS_H_INCLUDED

#include "StreamLedger.h"

#include <atomic>
#include <chrono>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

// Callers that each get one stream of the route "/paced/". After a broken
// connection, a gap or a refusal they take the stream up at another host, as
// the platform's callers do.
class StreamCallers
{
public:
  struct Options
  {
    int mStreams = 24;
    // Time from the start of the first stream to that of the last one.
    std::chrono::milliseconds mSpread{ 250 };
    // Time that a caller has for its whole stream.
    std::chrono::milliseconds mTimeout{ 9000 };
    int mMaxAttempts = 6;
    // Time without an event after which a caller abandons its attempt.
    std::chrono::milliseconds mGap{ 2000 };
    unsigned mSeed = 1;
  };

  StreamCallers(GatewayTestCluster& aCluster, const Options& aOptions);
  ~StreamCallers() { Await(); }
  StreamCallers(const StreamCallers&) = delete;
  StreamCallers& operator=(const StreamCallers&) = delete;

  // Sets whether a host is in no trouble. Attempts at hosts in trouble are not
  // counted in the shares of attempts that succeed.
  void SetHostSound(std::size_t aHost, bool aSound)
  {
    mHostSound[aHost] = aSound;
  }

  // Callers begin and take up streams at these hosts only from now on; first at
  // all that were started before the callers.
  void SetHosts(std::vector<std::size_t> aHosts);

  // Waits until each caller has its stream or has given up.
  void Await();

  // Streams of all callers; to be called after Await().
  const std::vector<CallerStream>& Streams() const { return mStreams; }

private:
  // Times at which the conditions of an attempt are checked.
  struct Conditions
  {
    bool mHostSound = false;
    bool mRunnersServed = false;
  };

  void Run(std::size_t aNumber);
  StreamAttempt Attempt(CallerStream& aStream,
                        std::size_t aHost,
                        quetzalquay::Time aDeadline);
  std::size_t ChooseHost(std::mt19937& aRandom,
                         const std::set<std::size_t>& aAvoided);
  Conditions CheckConditions(const CallerStream& aStream, std::size_t aHost);

  GatewayTestCluster& mCluster;
  const Options mOptions;
  const quetzalquay::Time mStart;
  std::vector<std::atomic<bool>> mHostSound;
  std::mutex mMutex;
  std::vector<std::size_t> mHosts;
  std::vector<CallerStream> mStreams;
  std::vector<std::thread> mThreads;
};

#endif // QUETZALQUAY_TESTS_FAKES_STREAMCALLERS_H_INCLUDED
