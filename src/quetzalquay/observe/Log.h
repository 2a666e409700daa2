#ifndef QUETZALQUAY_OBSERVE_LOG_H_INCLUDED
#define QUETZALQUAY_OBSERVE_LOG_H_INCLUDED

#include <cstdint>
#include <initializer_list>
#include <string>
#include <utility>

namespace quetzalquay {

enum class LogLevel
{
  Debug,
  Info,
  Warn,
  Error,
};

// Initializes structured logging for this process. Must be called once, before
// the first line is logged. An empty path logs to standard error. aLevel is one
// of debug, info, warn and error; empty means info.
void
StartLog(const std::string& aPath, const std::string& aLevel);

// Initializes structured logging to standard output through a bounded queue and
// a writer thread, so that logging never blocks on a slow reader. Lines that do
// not fit into the queue or exceed kMaxLinesPerSecond are dropped and counted.
void
StartQueuedLog(const std::string& aLevel);

// Sets the least level of logged lines, as StartLog() takes it.
void
SetLogLevel(const std::string& aLevel);

// Writes all queued lines, as far as the output takes them at once, and stops
// the writer thread. The process must end then.
void
StopQueuedLog();

// Maximum number of lines per second that a queued log accepts.
constexpr int kMaxLinesPerSecond = 400;

// Number of lines that queued logs have dropped so far.
std::uint64_t
DroppedLogLines();

// Name and value of a structured log field.
using LogField = std::pair<const char*, std::string>;

// Logs one line: time, level, component, message, then key=value fields.
void
Log(LogLevel aLevel,
    const char* aComponent,
    const std::string& aMessage,
    std::initializer_list<LogField> aFields = {});

} // namespace quetzalquay

#endif // QUETZALQUAY_OBSERVE_LOG_H_INCLUDED
