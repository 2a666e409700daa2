#ifndef QUETZALQUAY_GATEWAY_CONNECTIONLOG_H_INCLUDED
#define QUETZALQUAY_GATEWAY_CONNECTIONLOG_H_INCLUDED

#include "core/NameTable.h"
#include "core/Time.h"
#include "core/overload/EvictionOrder.h"
#include "gateway/GatewayMetrics.h"
#include "observe/EvictionLog.h"

#include <cstddef>
#include <string>

namespace quetzalquay {

// Why a caller's connection ended.
enum class ConnectionEnd
{
  // The answer was the last one of the connection.
  Answered,
  // The answer could not be completed.
  BrokenOff,
  // No request began within the idle time.
  Idle,
  // The caller did not read its answer fast enough.
  SlowReader,
  // New requests are no longer accepted.
  Stopping,
  // The process exits.
  Exiting,
  // The caller ended it, or nothing reached the caller.
  CallerGone,
  // Another one needed it.
  GivenUp,
};

// Name of an end in logs.
constexpr NameTable<ConnectionEnd, 8> kConnectionEndNames({
  "answered",
  "broken_off",
  "idle",
  "slow_reader",
  "stopping",
  "exiting",
  "caller_gone",
  "given_up",
});

// Bytes that are lost when a connection ends.
struct UnfinishedBytes
{
  // Received bytes of requests that were not handled. The bytes of an
  // incomplete request that the reader has consumed count as one.
  std::size_t mReceived = 0;
  // Bytes of answers that the operating system has not taken.
  std::size_t mUnsent = 0;
};

// Logs and counts callers' connections that end early, with a limited number of
// lines.
class ConnectionLog
{
public:
  explicit ConnectionLog(GatewayMetrics& aMetrics);

  // A connection ends with unfinished bytes. aRequestId is the connection's
  // last request.
  void OnCut(ConnectionEnd aEnd,
             const UnfinishedBytes& aBytes,
             const std::string& aRequestId,
             Time aNow);

  // A new connection was turned away while callers had aOpen connections open.
  void OnTurnedAway(std::size_t aOpen, Time aNow);

  // A connection, or its unfinished body, was given up for another one while
  // aOpen were open.
  void OnGivenUp(ConnectionUse aUse, std::size_t aOpen, Time aNow);

  // A new connection could not be accepted; it waits.
  void OnNotAccepted(const std::string& aReason, Time aNow);

private:
  GatewayMetrics& mMetrics;
  // Lines since mSecondStart about connections that were cut.
  int mCutLines = 0;
  Time mSecondStart;
  Time mLastTurnedAwayLine;
  // Connections turned away since the last line.
  int mTurnedAway = 0;
  EvictionLog mEvictionLog{ "callers" };
  Time mLastNotAcceptedLine;
  // Accepts that failed since the last line.
  int mNotAccepted = 0;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_GATEWAY_CONNECTIONLOG_H_INCLUDED
