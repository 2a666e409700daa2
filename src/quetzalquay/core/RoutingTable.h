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
#include <utility>
#include <vector>

namespace quetzalquay {

// Kind of a route's calls, which determines whether a call may be retried.
enum class CallKind
{
  // A request may run any number of times.
  Idempotent,
  // A request may run at most once.
  NonIdempotent,
  // A request is answered with a stream of events.
  Stream,
};

// Name of a call kind in logs and metrics.
std::string_view
NameOf(CallKind aKind);

// One of the services that a route's requests are distributed to, in proportion
// to the weights.
struct WeightedService
{
  std::string mName;
  double mWeight = 1;
};

// How requests for one host name and path prefix are served.
struct Route
{
  std::string mName;
  std::string mHost;
  // Begins and ends with a slash.
  std::string mPathPrefix;
  CallKind mKind = CallKind::NonIdempotent;
  // Whether a stream that is interrupted may be resumed at another target,
  // after the last event that was delivered.
  bool mResumable = false;
  // Whether requests are accepted without an API key.
  bool mPublic = false;
  // Maximum time that a request may take; zero for the default.
  Duration mTimeout = Duration::zero();
  // Latency objective: time to the complete response, or to a stream's first
  // event.
  Duration mLatencyObjective = Duration::zero();
  // Objective for the longest gap between two events of a stream.
  Duration mEventGapObjective = Duration::zero();
  // 0 is the most urgent.
  int mPriority = 0;
  // Maximum number of targets that one request may run on; targets that reject
  // it do not count.
  int mMaxAttempts = 1;
  std::vector<WeightedService> mServices;
};

// Capabilities of a service's targets.
struct ServiceTraits
{
  std::string mName;
  // Maximum number of connections that one target accepts from all its clients
  // together.
  int mMaxConnections = 0;
  // Whether the targets are model engines.
  bool mEngine = false;
  // Capacity of an engine's KV cache in tokens; 0 if unknown.
  int mMemoryTokens = 0;
  // Whether a running stream can send a copy of its KV cache to another engine.
  bool mCopies = false;
  // Whether engines copy a running stream's KV cache to another engine on
  // order, and how long that engine keeps such a copy.
  bool mSupportsCopyOrders = false;
  Duration mCopyLifetime = Duration::zero();
  // Path of the targets' health check.
  std::string mHealthPath;
};

// Limits on requests and connections of callers.
struct CallerLimits
{
  std::size_t mHeadBytes = 16384;
  std::size_t mBodyBytes = 4194304;
  // Time allowed for receiving a request head, and for a connection to stay
  // idle between requests.
  Duration mHeadTimeout = std::chrono::seconds(3);
  Duration mIdleTimeout = std::chrono::seconds(15);
};

// Workspace that an API key belongs to.
struct KeyOwner
{
  std::string mWorkspace;
  int mPriority = 0;
};

// Routing data of one configuration version. Immutable once in use; a request
// keeps using the version that was current when it arrived.
class RoutingTable : public RefCounted<RoutingTable>
{
public:
  // The operators' number of this configuration, 0 if it has no readable one.
  // What was written last counts, whatever its number.
  std::int64_t mVersion = 0;
  // Whether requests of routes that are not public need an API key.
  bool mKeysRequired = false;
  CallerLimits mLimits;

  void AddRoute(Route aRoute);
  void AddKey(const std::string& aKey, KeyOwner aOwner);
  void AddService(ServiceTraits aTraits);

  // Route of a host name with the longest path prefix that matches aPath, whose
  // query is ignored. nullptr when no route matches.
  const Route* FindRoute(std::string_view aHost, std::string_view aPath) const;

  // Lets connections that become idle soon after aNow keep a longer idle
  // timeout of the configuration that this one replaces then, by which their
  // callers may still go.
  void Replace(const RoutingTable& aOlder, Time aNow);

  // Idle timeout of a connection that became idle at aSince.
  Duration IdleTimeout(Time aSince) const;

  // Longest timeout of all routes.
  Duration LongestTimeout() const { return mLongestTimeout; }

  // Owner of an API key, or nullptr.
  const KeyOwner* FindKey(const std::string& aKey) const;

  // Traits of a service, or nullptr.
  const ServiceTraits* FindService(const std::string& aName) const;

  // Most and least urgent priority of the routes with streams of a service;
  // nothing if it has none.
  std::optional<std::pair<int, int>> StreamPriorities(
    const std::string& aService) const;

  const std::map<std::string, ServiceTraits>& Services() const
  {
    return mServices;
  }

private:
  // Keyed by host name and path prefix, separated by a line feed, which occurs
  // in neither.
  std::unordered_map<std::string, Route> mRoutes;
  // Length of the longest path prefix.
  std::size_t mLongestPrefix = 0;
  Duration mLongestTimeout = Duration::zero();
  // Idle timeout of an older configuration, and until when connections that
  // become idle keep it.
  Duration mOlderIdleTimeout = Duration::zero();
  Time mOlderIdleTimeoutUntil = Time::min();
  std::unordered_map<std::string, KeyOwner> mKeys;
  std::map<std::string, ServiceTraits> mServices;
  std::map<std::string, std::pair<int, int>> mStreamPriorities;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_CORE_ROUTINGTABLE_H_INCLUDED
