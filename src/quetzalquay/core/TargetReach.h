#ifndef QUETZALQUAY_CORE_TARGETREACH_H_INCLUDED
#define QUETZALQUAY_CORE_TARGETREACH_H_INCLUDED

#include "core/Time.h"

#include <optional>
#include <string>
#include <vector>

namespace quetzalquay {

// Decides from which services' targets this host is cut off while other hosts
// reach them, and which other host serves a request instead. Performs no I/O;
// not thread-safe.
class TargetReach
{
public:
  // A connection to a target has been established, or bytes have arrived on
  // one.
  void OnReached(const std::string& aService,
                 const std::string& aTarget,
                 Time aNow);

  // A target has refused, reset or not answered a connection or a probe.
  void OnNotReached(const std::string& aService,
                    const std::string& aTarget,
                    Time aNow);

  // Whether this host is cut off from a service's targets, so that its requests
  // are passed on at once.
  bool IsCutOff(const std::string& aService, Time aNow) const;

  // Whether this host may be cut off from a service's targets: a request that
  // could not be sent to a target is passed on instead of trying another one.
  bool IsSuspected(const std::string& aService, Time aNow) const;

  // Chooses a host that reaches a service's targets, other than those that have
  // been tried. Nothing if there is none.
  std::optional<std::string> ChooseHost(const std::string& aService,
                                        const std::vector<std::string>& aTried,
                                        Time aNow);

  // A request has been passed on to a host, and its answer has ended. Hosts
  // with fewer requests of this host are preferred.
  void OnPassedOn(const std::string& aHost);
  void OnPassedOnEnded(const std::string& aHost);

  // A host could not be reached, or could not serve a request that was passed
  // on to it. It is not chosen for a while.
  void OnHostFailed(const std::string& aHost, Time aNow);
};

} // namespace quetzalquay

#endif // QUETZALQUAY_CORE_TARGETREACH_H_INCLUDED
