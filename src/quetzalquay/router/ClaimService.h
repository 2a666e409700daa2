#ifndef QUETZALQUAY_ROUTER_CLAIMSERVICE_H_INCLUDED
#define QUETZALQUAY_ROUTER_CLAIMSERVICE_H_INCLUDED

#include "core/ClaimBook.h"

#include <condition_variable>
#include <map>
#include <mutex>
#include <string>
#include <thread>

namespace quetzalquay {

class RouterMetrics;

// Claim of one non-idempotent request.
struct Claim
{
  std::string mKey;
  ClaimRecord mRecord;
  unsigned mVersion = 0;
};

// Claims non-idempotent requests on the table service, for all threads of a
// router. Safe for concurrent use.
class ClaimService
{
public:
  // aClaimer names this incarnation of the router. The others must outlive
  // this object.
  ClaimService(std::string aClaimer,
               TableStorePort& aStore,
               RouterMetrics& aMetrics);
  ~ClaimService();

  void Start();
  void Stop();

  // Claims a request, blocking until the claim is settled or aGiveUpAt. aClaim
  // is filled when the status is Claimed, else aOther when it is Taken.
  ClaimStatus Acquire(const std::string& aWorkspace,
                      const std::string& aCallerKey,
                      const std::string& aRequestId,
                      Time aGiveUpAt,
                      Claim& aClaim,
                      ClaimRecord& aOther);

  // Records how a claimed request ended; one that has not run gives its claim
  // back, so that the caller may try again with the same key.
  void Settle(const Claim& aClaim, RunVerdict aVerdict);

private:
  void Work();
  void Answer(const std::vector<ClaimAnswer>& aAnswers);

  std::string mClaimer;
  TableStorePort& mStore;
  RouterMetrics& mMetrics;
  std::mutex mMutex;
  std::condition_variable mWork;
  std::condition_variable mAnswered;
  ClaimBook mBook;
  std::map<std::string, ClaimAnswer> mAnswers;
  // Nonces that a thread still waits for.
  std::map<std::string, bool> mAwaited;
  bool mStopping = false;
  std::thread mThread;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_ROUTER_CLAIMSERVICE_H_INCLUDED
