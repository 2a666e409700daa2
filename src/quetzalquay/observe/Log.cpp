#include "observe/Log.h"

#include "observe/QueueAppender.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <log4cplus/configurator.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/fileappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

namespace quetzalquay {

namespace {

constexpr char kPattern[] =
  "%D{%Y-%m-%dT%H:%M:%S.%qZ} level=%p component=%c %m%n";

constexpr std::array<log4cplus::LogLevel, 4> kLevels = {
  log4cplus::DEBUG_LOG_LEVEL,
  log4cplus::INFO_LOG_LEVEL,
  log4cplus::WARN_LOG_LEVEL,
  log4cplus::ERROR_LOG_LEVEL,
};

// Quotes a value that is empty or would not parse as a single word.
std::string
QuoteIfNeeded(const std::string& aValue)
{
  const bool plain = std::all_of(aValue.begin(), aValue.end(), [](char aChar) {
    const auto c = static_cast<unsigned char>(aChar);
    return std::isgraph(c) != 0 && aChar != '"' && aChar != '=';
  });
  if (plain && !aValue.empty()) {
    return aValue;
  }
  std::string text = "\"";
  for (const char it : aValue) {
    if (it == '"' || it == '\\') {
      text.push_back('\\');
    }
    text.push_back(std::iscntrl(static_cast<unsigned char>(it)) != 0 ? ' '
                                                                     : it);
  }
  return text + "\"";
}

void
ConfigureRootLogger(const log4cplus::SharedAppenderPtr& aAppender,
                    const std::string& aLevel)
{
  aAppender->setLayout(std::make_unique<log4cplus::PatternLayout>(kPattern));
  log4cplus::Logger::getRoot().addAppender(aAppender);
  SetLogLevel(aLevel);
}

} // namespace

void
SetLogLevel(const std::string& aLevel)
{
  std::string level = aLevel.empty() ? "INFO" : aLevel;
  std::transform(level.begin(), level.end(), level.begin(), [](char aChar) {
    return static_cast<char>(std::toupper(static_cast<unsigned char>(aChar)));
  });
  log4cplus::Logger::getRoot().setLogLevel(
    log4cplus::getLogLevelManager().fromString(level));
}

void
StartLog(const std::string& aPath, const std::string& aLevel)
{
  static const log4cplus::Initializer kInitializer;
  log4cplus::SharedAppenderPtr appender;
  if (aPath.empty()) {
    appender = new log4cplus::ConsoleAppender(true, true);
  } else {
    appender = new log4cplus::FileAppender(aPath, std::ios_base::app);
  }
  ConfigureRootLogger(appender, aLevel);
}

void
StartQueuedLog(const std::string& aLevel)
{
  static const log4cplus::Initializer kInitializer;
  log4cplus::SharedAppenderPtr appender(new QueueAppender);
  ConfigureRootLogger(appender, aLevel);
}

void
StopQueuedLog()
{
  log4cplus::Logger::getRoot().closeNestedAppenders();
}

std::uint64_t
DroppedLogLines()
{
  return QueueAppender::DroppedLines();
}

void
Log(LogLevel aLevel,
    const char* aComponent,
    const std::string& aMessage,
    std::initializer_list<LogField> aFields)
{
  const auto level = kLevels[static_cast<std::size_t>(aLevel)];
  auto logger = log4cplus::Logger::getInstance(aComponent);
  if (!logger.isEnabledFor(level)) {
    return;
  }
  std::string line = "message=" + QuoteIfNeeded(aMessage);
  for (const LogField& it : aFields) {
    line += std::string(" ") + it.first + "=" + QuoteIfNeeded(it.second);
  }
  logger.log(level, line);
}

} // namespace quetzalquay
