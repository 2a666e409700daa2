#ifndef QUETZALQUAY_GATEWAY_FORMATLOG_H_INCLUDED
#define QUETZALQUAY_GATEWAY_FORMATLOG_H_INCLUDED

#include "gateway/GatewayMetrics.h"

#include <cstddef>
#include <set>
#include <string>
#include <utility>

namespace quetzalquay {

// Counts what other hosts have sent or stored and this host cannot read, and
// logs it once for each host and kind.
class FormatLog
{
public:
  // aMetrics must outlive this object.
  explicit FormatLog(GatewayMetrics& aMetrics)
    : mMetrics(aMetrics)
  {
  }

  // A record of a kind from aHost cannot be read.
  void OnUnreadable(const std::string& aHost, const std::string& aKind);

  // Length of all names that are kept.
  std::size_t KeptBytes() const;

private:
  GatewayMetrics& mMetrics;
  std::set<std::pair<std::string, std::string>> mLogged;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_GATEWAY_FORMATLOG_H_INCLUDED
