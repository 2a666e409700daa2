#ifndef QUETZALQUAY_CORE_CONFIGURATIONFRESHNESS_H_INCLUDED
#define QUETZALQUAY_CORE_CONFIGURATIONFRESHNESS_H_INCLUDED

#include "core/Time.h"

#include <map>
#include <string>

namespace quetzalquay {

// Decides whether a router's configuration is recent enough to serve with.
// Pure logic; not safe for concurrent use.
//
// A router serves only while it knows that no newer revision is in force: since
// it has read the store itself, or a peer that has, or, while the store is out
// for all, since it hears from a majority of the routers. It never serves below
// a revision that it has been told of.
class ConfigurationFreshness
{
public:
  // Time for which one confirmation counts.
  static constexpr Duration kConfirmedFor = std::chrono::milliseconds(4000);

  // Age up to which a peer's own reading of the store confirms others.
  static constexpr Duration kPeerStoreAge = std::chrono::milliseconds(2000);

  // Time in which a revision that was heard of has to be put in force.
  static constexpr Duration kCatchUpTime = std::chrono::milliseconds(1000);

  // aRouters counts the deployment's routers, this one included.
  explicit ConfigurationFreshness(int aRouters);

  // A revision is in force here.
  void OnApplied(unsigned aRevision);

  // The store has been read; aRevision is its newest.
  void OnStoreRead(unsigned aRevision, Time aNow);

  // A peer has told what it has in force, and whether it has lately read the
  // store.
  void OnPeer(const std::string& aPeer,
              unsigned aRevision,
              bool aStoreReached,
              Time aNow);

  // Until when new requests may be served, as far as is known; not after aNow
  // when they may not.
  Time ServeUntil(Time aNow) const;

  // Whether this router has lately read the store itself.
  bool StoreReached(Time aNow) const;

  // Highest revision heard of.
  unsigned Heard() const { return mHeard; }

  // Revision in force here.
  unsigned Applied() const { return mApplied; }

private:
  void Hear(unsigned aRevision, Time aNow);
  Time MajorityUntil() const;

  int mRouters;
  unsigned mApplied = 0;
  unsigned mHeard = 0;
  Time mHeardAt;
  bool mStoreRead = false;
  Time mStoreReadAt;
  // When the store was last confirmed, by this router or by a peer.
  Time mConfirmedUntil;
  std::map<std::string, Time> mPeersHeardAt;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_CORE_CONFIGURATIONFRESHNESS_H_INCLUDED
