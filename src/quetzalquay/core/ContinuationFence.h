#ifndef QUETZALQUAY_CORE_CONTINUATIONFENCE_H_INCLUDED
#define QUETZALQUAY_CORE_CONTINUATIONFENCE_H_INCLUDED

#include "core/Time.h"
#include "ports/PlatformPorts.h"

#include <optional>
#include <string>

namespace quetzalquay {

// Content of the row that says who continued a non-idempotent request last.
struct FenceRecord
{
  // Router incarnation and its nonce for this write.
  std::string mOwner;
  std::string mNonce;
  // Attempt that the owner was allowed to start.
  int mAttempt = 0;
};

// Answer to a wish to continue.
enum class FenceAnswer
{
  Granted,
  // Another router has continued the request in the meantime.
  Refused,
};

// Decides whether a router may start a continuation of a non-idempotent
// request. A router that was paused and wakes must not go on with a stream that
// another router has taken over: every continuation first writes the request's
// row, under the condition that nobody else has since the last attempt that
// this router knows of. Pure logic; not safe for concurrent use.
class ContinuationFence
{
public:
  // aKnownAttempt is the newest attempt that this router knows to be the
  // request's own: that of the event id it took over from, else 0.
  ContinuationFence(std::string aOwner, std::string aNonce, int aKnownAttempt);

  // The row was read, or nothing when it does not exist. Returns the write to
  // make, with the row's version as its condition, or the answer.
  struct Step
  {
    std::optional<FenceAnswer> mAnswer;
    FenceRecord mWrite;
    unsigned mIfVersion = 0;
  };

  Step OnRead(const std::optional<FenceRecord>& aRecord,
              unsigned aVersion,
              int aNewAttempt);

  // The write is known to have taken effect.
  void OnWritten(int aNewAttempt);

private:
  std::string mOwner;
  std::string mNonce;
  int mKnownAttempt;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_CORE_CONTINUATIONFENCE_H_INCLUDED
