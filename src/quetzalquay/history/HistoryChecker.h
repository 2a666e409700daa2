#ifndef QUETZALQUAY_HISTORY_HISTORYCHECKER_H_INCLUDED
#define QUETZALQUAY_HISTORY_HISTORYCHECKER_H_INCLUDED

#include <string>
#include <string_view>
#include <vector>

namespace quetzalquay {

namespace schema {
class History;
}

// What is wrong with a recorded run.
enum class FindingKind
{
  MissingToken,
  RepeatedToken,
  MixedGenerations,
  ForeignText,
  SecondRun,
  FalseNotRun,
  Unanswered,
  LateAnswer,
  WrongContinuation,
  WorkAfterLeaving,
  ConfigurationWentBack,
  ConfigurationLate,
};

// Name of a finding, for example "missing_token".
std::string_view
NameOf(FindingKind aKind);

// One violation of what must always hold.
struct Finding
{
  FindingKind mKind = FindingKind::MissingToken;
  std::string mRequestId;
  std::string mDetail;
};

// Bounds that the users state.
struct HistoryBounds
{
  // Time after its deadline within which every request is answered.
  double mAnswerSlackMs = 1000;
  // Time after which a leaving target gets no new work.
  double mLeavingMs = 3000;
  // Time within which an accepted configuration is in force everywhere.
  double mConfigurationMs = 9000;
};

// Compares what callers saw with what targets did. The text of a stand-in
// engine's token names its generation and index. Returns all violations.
std::vector<Finding>
CheckHistory(const schema::History& aHistory,
             const HistoryBounds& aBounds = HistoryBounds());

} // namespace quetzalquay

#endif // QUETZALQUAY_HISTORY_HISTORYCHECKER_H_INCLUDED
