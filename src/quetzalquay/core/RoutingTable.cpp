#include "core/RoutingTable.h"

#include "core/NameTable.h"

#include <algorithm>
#include <utility>

namespace quetzalquay {

namespace {

// Time after a change for which callers may still go by the older idle timeout.
// Hosts apply a change within less than a second, and it has to be in force on
// all of them within three.
constexpr Duration kOlderIdleTimeoutTime = std::chrono::seconds(2);

constexpr NameTable<CallKind, 3> kKindNames({ "idempotent",
                                              "non_idempotent",
                                              "stream" });

// The name in a host and port, in lower case: names of hosts are compared
// ignoring case, and callers add the port if it is not the usual one.
std::string
HostName(std::string_view aHost)
{
  const auto colon = aHost.rfind(':');
  // The colons of an IPv6 address are followed by a bracket.
  const bool hasPort =
    colon != std::string_view::npos &&
    aHost.find_first_not_of("0123456789", colon + 1) == std::string_view::npos;
  std::string name(hasPort ? aHost.substr(0, colon) : aHost);
  std::transform(name.begin(), name.end(), name.begin(), [](char aChar) {
    return aChar >= 'A' && aChar <= 'Z' ? static_cast<char>(aChar - 'A' + 'a')
                                        : aChar;
  });
  return name;
}

std::string
RouteKey(const std::string& aHostName, std::string_view aPrefix)
{
  return std::string(aHostName).append("\n").append(aPrefix);
}

} // namespace

std::string_view
NameOf(CallKind aKind)
{
  return kKindNames.NameOf(aKind);
}

void
RoutingTable::AddRoute(Route aRoute)
{
  if (aRoute.mKind == CallKind::Stream) {
    for (const WeightedService& it : aRoute.mServices) {
      const std::pair<int, int> only(aRoute.mPriority, aRoute.mPriority);
      auto& range = mStreamPriorities.emplace(it.mName, only).first->second;
      range.first = std::min(range.first, aRoute.mPriority);
      range.second = std::max(range.second, aRoute.mPriority);
    }
  }
  std::string key = RouteKey(HostName(aRoute.mHost), aRoute.mPathPrefix);
  mLongestTimeout = std::max(mLongestTimeout, aRoute.mTimeout);
  mLongestPrefix = std::max(mLongestPrefix, aRoute.mPathPrefix.size());
  mRoutes.insert_or_assign(std::move(key), std::move(aRoute));
}

void
RoutingTable::AddKey(const std::string& aKey, KeyOwner aOwner)
{
  mKeys.insert_or_assign(aKey, std::move(aOwner));
}

void
RoutingTable::AddService(ServiceTraits aTraits)
{
  const std::string name = aTraits.mName;
  mServices.insert_or_assign(name, std::move(aTraits));
}

const Route*
RoutingTable::FindRoute(std::string_view aHost, std::string_view aPath) const
{
  std::string_view path = aPath.substr(0, aPath.find('?'));
  // Callers choose how many slashes follow.
  path = path.substr(0, mLongestPrefix);
  const std::string host = HostName(aHost);
  while (true) {
    const auto slash = path.rfind('/');
    if (slash == std::string_view::npos) {
      return nullptr;
    }
    const auto it = mRoutes.find(RouteKey(host, path.substr(0, slash + 1)));
    if (it != mRoutes.end()) {
      return &it->second;
    }
    path = path.substr(0, slash);
  }
}

const KeyOwner*
RoutingTable::FindKey(const std::string& aKey) const
{
  const auto it = mKeys.find(aKey);
  return it == mKeys.end() ? nullptr : &it->second;
}

const ServiceTraits*
RoutingTable::FindService(const std::string& aName) const
{
  const auto it = mServices.find(aName);
  return it == mServices.end() ? nullptr : &it->second;
}

void
RoutingTable::Replace(const RoutingTable& aOlder, Time aNow)
{
  mOlderIdleTimeout = aOlder.mOlderIdleTimeout;
  mOlderIdleTimeoutUntil = aOlder.mOlderIdleTimeoutUntil;
  if (mLimits.mIdleTimeout < aOlder.mLimits.mIdleTimeout) {
    mOlderIdleTimeout = aOlder.IdleTimeout(aNow);
    mOlderIdleTimeoutUntil = aNow + kOlderIdleTimeoutTime;
  }
}

std::optional<std::pair<int, int>>
RoutingTable::StreamPriorities(const std::string& aService) const
{
  const auto it = mStreamPriorities.find(aService);
  return it == mStreamPriorities.end() ? std::nullopt
                                       : std::make_optional(it->second);
}

Duration
RoutingTable::IdleTimeout(Time aSince) const
{
  return aSince < mOlderIdleTimeoutUntil
           ? std::max(mLimits.mIdleTimeout, mOlderIdleTimeout)
           : mLimits.mIdleTimeout;
}

} // namespace quetzalquay
