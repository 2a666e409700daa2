#ifndef QUETZALQUAY_CORE_ROUTINGTABLE_H_INCLUDED
#define QUETZALQUAY_CORE_ROUTINGTABLE_H_INCLUDED

#include "core/RefCounted.h"
#include "core/Time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace quetzalquay {

// What a route allows to be repeated.
enum class CallKind
{
  // May run any number of times.
  Idempotent,
  // May run at most once for each request.
  NonIdempotent,
  // Answers with a stream of events.
  Stream,
};

// Name of a kind in logs and metrics.
std::string_view
NameOf(CallKind aKind);

// One of the services that a route's requests go to.
struct WeightedService
{
  std::string mName;
  double mWeight = 1;
};

// How requests of one host and path are served.
struct Route
{
  std::string mName;
  std::string mHost;
  // Begins and ends with a slash.
  std::string mPathPrefix;
  CallKind mKind = CallKind::NonIdempotent;
  // Whether a stream may go on at another target after its last event.
  bool mResumable = false;
  // Whether requests need no key.
  bool mPublic = false;
  // Longest time that a caller is kept waiting.
  Duration mTimeout = Duration::zero();
  // Time to the whole answer, or to a stream's first event, that is on time.
  Duration mObjective = Duration::zero();
  // Longest pause between two events of a stream that is on time.
  Duration mGapObjective = Duration::zero();
  // 0 is the most urgent.
  int mPriority = 0;
  // Targets that one request may run on.
  int mMaxAttempts = 1;
  std::vector<WeightedService> mServices;
};

// What the targets of a service can do.
struct ServiceTraits
{
  std::string mName;
  // Connections that one target takes from all callers together.
  int mMaxConnections = 0;
  // Whether the targets are model engines.
  bool mEngine = false;
  // Tokens that an engine's memory holds; zero when not known.
  int mMemoryTokens = 0;
  // Whether engines keep copies of each other's running streams.
  bool mCopies = false;
  // Whether engines copy a running stream elsewhere on order, and how long such
  // a copy is kept there.
  bool mCopyOrders = false;
  Duration mCopyLifetime = Duration::zero();
  // Path of the targets' health check.
  std::string mHealthPath;
};

// Bounds on what callers may send.
struct CallerLimits
{
  std::size_t mHeadBytes = 16384;
  std::size_t mBodyBytes = 4194304;
  // Time for a request's head, and for a connection without a request.
  Duration mHeadTimeout = std::chrono::seconds(3);
  Duration mIdleTimeout = std::chrono::seconds(15);
};

// Workspace that a caller's key belongs to.
struct KeyOwner
{
  std::string mWorkspace;
  int mPriority = 0;
};

// One version of the configuration, as requests are routed by it. Immutable
// once it is in force; requests hold the version that they came in under.
class RoutingTable : public RefCounted<RoutingTable>
{
public:
  // Number that grows with each version.
  std::int64_t mVersion = 0;
  // Whether requests of routes that are not public need a key.
  bool mKeysRequired = false;
  CallerLimits mLimits;

  void AddRoute(Route aRoute);
  void AddKey(const std::string& aKey, KeyOwner aOwner);
  void AddService(ServiceTraits aTraits);

  // Route with the longest prefix of a path, which may have a query; nothing
  // when no route fits.
  const Route* Find(std::string_view aHost, std::string_view aPath) const;

  // Owner of a key, or nothing.
  const KeyOwner* FindKey(const std::string& aKey) const;

  // Traits of a service, or nothing.
  const ServiceTraits* FindService(const std::string& aName) const;

  const std::map<std::string, ServiceTraits>& Services() const
  {
    return mServices;
  }

private:
  // By host, a line feed and the prefix, none of which holds a line feed.
  std::unordered_map<std::string, Route> mRoutes;
  std::unordered_map<std::string, KeyOwner> mKeys;
  std::map<std::string, ServiceTraits> mServices;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_CORE_ROUTINGTABLE_H_INCLUDED
