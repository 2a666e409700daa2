#ifndef QUETZALQUAY_CORE_CONTINUATIONFENCE_H_INCLUDED
#define QUETZALQUAY_CORE_CONTINUATIONFENCE_H_INCLUDED

#include "core/Time.h"
#include "ports/PlatformPorts.h"

#include <optional>
#include <string>

namespace quetzalquay {

// Content of the row that records which router last continued a non-idempotent
// request.
struct FenceRecord
{
  // Router incarnation and the nonce of its fence.
  std::string mOwner;
  std::string mNonce;
  // Attempt that the owner may start.
  int mAttempt = 0;
};

// Result of a request to continue.
enum class FenceDecision
{
  Granted,
  // Another router has already continued the request.
  Refused,
};

// Decides whether a router may start a continuation of a non-idempotent
// request. A router that resumes after a pause must not continue a stream that
// another router has taken over, so every continuation first writes the
// request's row, on condition that no other router has written it since the
// last attempt that this router knows of. Performs no I/O; not thread-safe.
class ContinuationFence
{
public:
  // aKnownAttempt is the newest attempt of the request that this router knows
  // of: after a takeover, the one in the caller's event ID, otherwise 0.
  ContinuationFence(std::string aOwner, std::string aNonce, int aKnownAttempt);

  // Next step after a read of the row: the result if it is decided, otherwise
  // the write to make and the version that the row must have (zero when it must
  // not exist).
  struct Step
  {
    std::optional<FenceDecision> mDecision;
    FenceRecord mWrite;
    unsigned mIfVersion = 0;
  };

  // Handles a read of the row; aRecord is empty when the row does not exist.
  Step OnRead(const std::optional<FenceRecord>& aRecord,
              unsigned aVersion,
              int aNewAttempt);

  // Handles a write that is known to have taken effect.
  void OnWritten(int aNewAttempt);

private:
  std::string mOwner;
  std::string mNonce;
  int mKnownAttempt;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_CORE_CONTINUATIONFENCE_H_INCLUDED
