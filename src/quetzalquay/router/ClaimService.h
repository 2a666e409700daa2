#ifndef QUETZALQUAY_ROUTER_CLAIMSERVICE_H_INCLUDED
#define QUETZALQUAY_ROUTER_CLAIMSERVICE_H_INCLUDED

#include "core/ClaimBatcher.h"

#include <condition_variable>
#include <map>
#include <mutex>
#include <string>
#include <thread>

namespace quetzalquay {

class RouterMetrics;

// Exclusive right to run one non-idempotent request.
struct Claim
{
  std::string mKey;
  ClaimRecord mRecord;
  // Version of the row that holds the claim.
  unsigned mVersion = 0;
};

// Claims non-idempotent requests in the table service on behalf of all threads
// of a router. Thread-safe.
class ClaimService
{
public:
  // aClaimer identifies this incarnation of the router. aStore and aMetrics
  // must outlive this object.
  ClaimService(std::string aClaimer,
               TableStorePort& aStore,
               RouterMetrics& aMetrics);
  ~ClaimService();

  // Starts the thread that commits claims.
  void Start();

  // Ends the thread. Waiting Acquire calls return Unavailable, and outcomes
  // that have not been written yet are lost.
  void Stop();

  // Claims a request. Blocks until the claim is decided; one that is still
  // undecided after aDeadline yields Unavailable. aClaim is valid when the
  // status is Claimed, and aOther when it is Taken.
  ClaimStatus Acquire(const std::string& aWorkspace,
                      const std::string& aCallerKey,
                      const std::string& aRequestId,
                      Time aDeadline,
                      Claim& aClaim,
                      ClaimRecord& aOther);

  // Records the outcome of a claimed request. If the request has not run, the
  // claim is released so that the caller can retry with the same key.
  void RecordOutcome(const Claim& aClaim, RunVerdict aVerdict);

private:
  void RunCommitLoop();
  void DeliverClaimResults(const std::vector<ClaimResult>& aClaimResults);

  std::string mClaimer;
  TableStorePort& mStore;
  RouterMetrics& mMetrics;
  std::mutex mMutex;
  std::condition_variable mWorkAvailable;
  std::condition_variable mClaimResultsReady;
  ClaimBatcher mClaimBatcher;
  std::map<std::string, ClaimResult> mClaimResults;
  // Nonces of the claims that a thread still waits for.
  std::map<std::string, bool> mAwaitedNonces;
  bool mStopping = false;
  std::thread mThread;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_ROUTER_CLAIMSERVICE_H_INCLUDED
