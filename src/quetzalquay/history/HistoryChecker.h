#ifndef QUETZALQUAY_HISTORY_HISTORYCHECKER_H_INCLUDED
#define QUETZALQUAY_HISTORY_HISTORYCHECKER_H_INCLUDED

#include <string>
#include <string_view>
#include <vector>

namespace quetzalquay {

namespace schema {
class History;
}

// Kind of violation in a recorded history.
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

// Name of a finding kind, for example "missing_token".
std::string_view
NameOf(FindingKind aKind);

// A violation of an invariant.
struct Finding
{
  FindingKind mKind = FindingKind::MissingToken;
  std::string mRequestId;
  std::string mDetail;
};

// Time limits from the users' requirements, in milliseconds.
struct HistoryBounds
{
  // Time after its deadline by which a request must have ended.
  double mMaxDeadlineOverrunMs = 1000;
  // Time after which a leaving target must not get new work.
  double mLeavingGraceMs = 3000;
  // Time after which an accepted configuration must be in force on every
  // router.
  double mMaxConfigurationDelayMs = 9000;
};

// Compares the responses that callers received with the work that targets
// recorded, and returns all violations. Relies on the text of a stand-in
// engine's tokens, which contains generation and index.
std::vector<Finding>
CheckHistory(const schema::History& aHistory,
             const HistoryBounds& aBounds = HistoryBounds());

} // namespace quetzalquay

#endif // QUETZALQUAY_HISTORY_HISTORYCHECKER_H_INCLUDED
