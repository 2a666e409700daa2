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

// Sets up structured logging for this process, once, before the first line. An
// empty path logs to standard error. aLevel is one of debug, info, warn, error.
void
StartLog(const std::string& aPath, const std::string& aLevel);

// Sets up structured logging to standard output through a bounded queue, which
// a thread of its own empties: a line never waits for its reader. Lines that do
// not fit, or come faster than kMaxLinesPerSecond, are dropped and counted.
void
StartQueuedLog(const std::string& aLevel);

// Writes what is queued and ends the queue's thread.
void
StopQueuedLog();

// Lines a second that a queued log takes at most.
constexpr int kMaxLinesPerSecond = 400;

// Lines that a queued log has dropped so far.
std::uint64_t
DroppedLogLines();

// Name and value of a structured log field.
using LogField = std::pair<const char*, std::string>;

// Writes one line: time, level, component, message, then key=value fields.
void
Log(LogLevel aLevel,
    const char* aComponent,
    const std::string& aMessage,
    std::initializer_list<LogField> aFields = {});

} // namespace quetzalquay

#endif // QUETZALQUAY_OBSERVE_LOG_H_INCLUDED
