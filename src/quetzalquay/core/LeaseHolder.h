#ifndef QUETZALQUAY_CORE_LEASEHOLDER_H_INCLUDED
#define QUETZALQUAY_CORE_LEASEHOLDER_H_INCLUDED

#include "core/Time.h"

#include <optional>
#include <string>

namespace quetzalquay {

// Content of a lease row.
struct LeaseRecord
{
  std::string mHolder;
  // Fencing token of orders; increases with each change of holder.
  unsigned mEpoch = 0;
  // Expiry by the holder's wall clock, in milliseconds since the Unix epoch;
  // informational only.
  double mExpiresAtMs = 0;
};

// Conditional write of a lease row.
struct LeaseWrite
{
  // Version that the row must have; zero when it must not exist.
  unsigned mIfVersion = 0;
  LeaseRecord mRecord;
};

// Decides when a candidate acquires, renews and relies on a lease that is
// stored in a row of the table service. Performs no I/O; not thread-safe.
//
// Clocks of other candidates are not trusted: a candidate takes over a lease
// only after it has itself observed the row unchanged for the lease time plus
// the maximum order time. The holder counts its lease from before it sent the
// confirmed write.
class LeaseHolder
{
public:
  // aLeaseTime is the duration of a lease; aOrderTime is the longest time that
  // an order may be in progress.
  LeaseHolder(std::string aCandidate, Duration aLeaseTime, Duration aOrderTime);

  // Handles a read of the row; aRecord is empty when the row does not exist.
  // Returns the write to attempt, if any. aNow is a time before that write.
  std::optional<LeaseWrite> OnRead(unsigned aVersion,
                                   const std::optional<LeaseRecord>& aRecord,
                                   Time aNow);

  // Handles a write that began at aBegun and gave the row version aVersion.
  void OnWritten(const LeaseWrite& aWrite, unsigned aVersion, Time aBegun);

  // Handles a write that was rejected or whose outcome is unknown.
  void OnNotWritten();

  // Returns whether the lease is held, so that orders may be sent. To be
  // checked immediately before each send.
  bool IsHeld(Time aNow) const;

  // Returns whether the lease is held and orders of the previous holder can no
  // longer be in progress. Until then a new holder must not change anything;
  // afterwards it has to read the current state back before it does.
  bool IsSettled(Time aNow) const;

  // Returns the fencing token of the lease last held.
  unsigned Epoch() const { return mEpoch; }

private:
  std::string mCandidate;
  Duration mLeaseTime;
  Duration mOrderTime;
  // Last observed version of the row and the time since which it is unchanged.
  unsigned mObservedVersion = 0;
  bool mObserved = false;
  Time mUnchangedSince;
  bool mHeld = false;
  unsigned mEpoch = 0;
  Time mHeldUntil;
  Time mSettledAt;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_CORE_LEASEHOLDER_H_INCLUDED
