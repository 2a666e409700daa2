#ifndef QUETZALQUAY_CORE_CONFIGURATIONFRESHNESS_H_INCLUDED
#define QUETZALQUAY_CORE_CONFIGURATIONFRESHNESS_H_INCLUDED

#include "core/Time.h"

#include <map>
#include <string>

namespace quetzalquay {

// Decides whether a router's configuration is recent enough to serve requests.
// Performs no I/O; not thread-safe.
//
// A router serves only while its configuration is confirmed to be the newest:
// by its own recent read of the store, by a peer that has recently read it, or
// by recent contact with a majority of the routers, so that serving continues
// while no router can reach the store. Once it learns of a newer revision, it
// has to apply it within kMaxApplyDelay or stop serving.
class ConfigurationFreshness
{
public:
  // How long one confirmation remains valid.
  static constexpr Duration kConfirmationLifetime =
    std::chrono::milliseconds(4000);

  // Maximum age at which a router's read of the store still counts as recent.
  static constexpr Duration kMaxStoreReadAge = std::chrono::milliseconds(2000);

  // Time within which a newly learned revision has to be applied.
  static constexpr Duration kMaxApplyDelay = std::chrono::milliseconds(1000);

  // aRouters is the number of routers in the deployment, including this one.
  explicit ConfigurationFreshness(int aRouters);

  // This router has applied a revision.
  void OnApplied(unsigned aRevision);

  // This router has read the store; aRevision is the newest revision there.
  void OnStoreRead(unsigned aRevision, Time aNow);

  // A peer has reported its applied revision and whether it has recently read
  // the store.
  void OnPeerReport(const std::string& aPeer,
                    unsigned aRevision,
                    bool aStoreReached,
                    Time aNow);

  // Returns the time until which new requests may be served, given what is
  // known now; no later than aNow if they may not be served.
  Time ServeUntil(Time aNow) const;

  // Returns whether this router itself has recently read the store.
  bool HasReadStoreRecently(Time aNow) const;

  // Returns the highest revision that this router has learned of.
  unsigned LatestKnownRevision() const { return mLatestKnownRevision; }

  // Returns the revision that this router has applied.
  unsigned AppliedRevision() const { return mAppliedRevision; }

private:
  void RecordRevision(unsigned aRevision, Time aNow);
  Time MajorityConfirmedUntil() const;

  int mRouters;
  unsigned mAppliedRevision = 0;
  unsigned mLatestKnownRevision = 0;
  Time mLatestKnownAt;
  bool mStoreRead = false;
  Time mStoreReadAt;
  // Time until which a read of the store, by this router or a peer, confirms
  // the configuration.
  Time mConfirmedUntil;
  std::map<std::string, Time> mPeerReportedAt;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_CORE_CONFIGURATIONFRESHNESS_H_INCLUDED
