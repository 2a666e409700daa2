#ifndef QUETZALQUAY_CORE_LEASEHOLDER_H_INCLUDED
#define QUETZALQUAY_CORE_LEASEHOLDER_H_INCLUDED

#include "core/Time.h"

#include <optional>
#include <string>

namespace quetzalquay {

// Content of a lease's row.
struct LeaseRecord
{
  std::string mHolder;
  // Grows with each change of holder; the fencing number of orders.
  unsigned mEpoch = 0;
  // When the lease ends by the holder's own wall clock, for people only.
  double mExpiresAtMs = 0;
};

// Write that a candidate wants to make on a lease's row.
struct LeaseWrite
{
  // Version that the row must have; zero when it must not exist.
  unsigned mIfVersion = 0;
  LeaseRecord mRecord;
};

// Decides when one candidate takes, renews and trusts a lease on a row of the
// table service. Pure logic; not safe for concurrent use.
//
// Others' clocks are not trusted: a candidate takes a lease over only after it
// has itself seen the row unchanged for the whole lease time and the longest
// order time. The holder counts its lease from before it sent the write that
// was confirmed.
class LeaseHolder
{
public:
  LeaseHolder(std::string aCandidate, Duration aLeaseTime, Duration aOrderTime);

  // The row was read: its version and content, or nothing when it does not
  // exist. Returns the write to try, if any. aReadBegun is from before the
  // call.
  std::optional<LeaseWrite> OnRead(unsigned aVersion,
                                   const std::optional<LeaseRecord>& aRecord,
                                   Time aNow);

  // The write that began at aBegun has taken effect with this version.
  void OnWritten(const LeaseWrite& aWrite, unsigned aVersion, Time aBegun);

  // The write was refused, or its outcome is not known; the row decides.
  void OnNotWritten();

  // Whether orders may be sent now. Checked right before each send.
  bool Holds(Time aNow) const;

  // Whether this holder is new and has to wait, read back and assert the state
  // anew before it changes anything.
  bool IsSettled(Time aNow) const;

  // Fencing number of the held lease.
  unsigned Epoch() const { return mEpoch; }

private:
  std::string mCandidate;
  Duration mLeaseTime;
  Duration mOrderTime;
  // Row as last seen, and since when it has not changed.
  unsigned mSeenVersion = 0;
  bool mSeen = false;
  Time mSeenSince;
  bool mHolding = false;
  unsigned mEpoch = 0;
  Time mHoldsUntil;
  Time mSettledAt;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_CORE_LEASEHOLDER_H_INCLUDED
