#ifndef QUETZALQUAY_GATEWAY_RETRYLOG_H_INCLUDED
#define QUETZALQUAY_GATEWAY_RETRYLOG_H_INCLUDED

#include "core/RetryBudget.h"
#include "gateway/GatewayMetrics.h"

#include <map>
#include <string>

namespace quetzalquay {

// Counts the decisions of the retry budget in the metrics and logs them. A line
// is written when the decisions for a service change, and otherwise once per
// second at most.
class RetryLog
{
public:
  // aMetrics must outlive this object.
  explicit RetryLog(GatewayMetrics& aMetrics);

  void OnDecision(const RetryDecision& aDecision, Time aNow);

private:
  struct LastLine
  {
    RetrySource mSource = RetrySource::None;
    Time mAt;
    // Decisions since then that were not logged.
    int mSkipped = 0;
  };

  GatewayMetrics& mMetrics;
  std::map<std::string, LastLine> mLastLines;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_GATEWAY_RETRYLOG_H_INCLUDED
