#include "history/HistoryChecker.h"

#include "core/NameTable.h"
#include "generated/messages.pb.h"

#include <algorithm>
#include <charconv>
#include <map>
#include <optional>
#include <set>
#include <sstream>
#include <utility>

namespace quetzalquay {

namespace {

constexpr NameTable<FindingKind, 12> kKindNames({ "missing_token",
                                                  "repeated_token",
                                                  "mixed_generations",
                                                  "foreign_text",
                                                  "second_run",
                                                  "false_not_run",
                                                  "unanswered",
                                                  "late_answer",
                                                  "wrong_continuation",
                                                  "work_after_leaving",
                                                  "configuration_went_back",
                                                  "configuration_late" });

// Generation and index from the text of a stand-in engine's token.
struct ParsedToken
{
  std::string mGeneration;
  int mIndex = 0;
};

std::optional<ParsedToken>
ParseToken(const std::string& aText)
{
  const std::size_t colon = aText.rfind(':');
  if (colon == std::string::npos) {
    return std::nullopt;
  }
  ParsedToken token;
  token.mGeneration = aText.substr(0, colon);
  const char* begin = aText.data() + colon + 1;
  const char* end = aText.data() + aText.size();
  const auto parsed = std::from_chars(begin, end, token.mIndex);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return token;
}

// Runs all checks on a history.
class Checker
{
public:
  Checker(const schema::History& aHistory, const HistoryBounds& aBounds)
    : mHistory(aHistory)
    , mBounds(aBounds)
  {
    for (const auto& it : mHistory.targets()) {
      mByRequest[it.request_id()].push_back(&it);
      mByKey[it.caller_key()].push_back(&it);
      if (!it.plain()) {
        mRequestsByGeneration[it.generation()].insert(it.request_id());
      }
    }
  }

  std::vector<Finding> Run()
  {
    for (const auto& it : mHistory.callers()) {
      CheckAnswered(it);
      CheckText(it);
      CheckNotRun(it);
      CheckRuns(it);
    }
    CheckContinuations();
    CheckLeaving();
    CheckRevisions();
    CheckAccepted();
    return std::move(mFindings);
  }

private:
  void Report(FindingKind aKind,
              const std::string& aRequestId,
              std::string aDetail)
  {
    mFindings.push_back({ aKind, aRequestId, std::move(aDetail) });
  }

  void CheckAnswered(const schema::CallerRecord& aCaller)
  {
    if (!aCaller.complete() && aCaller.error_code().empty()) {
      Report(FindingKind::Unanswered,
             aCaller.request_id(),
             "no final response or error");
    }
    if (aCaller.ended_at() >
        aCaller.deadline_at() + mBounds.mMaxDeadlineOverrunMs) {
      Report(FindingKind::LateAnswer,
             aCaller.request_id(),
             "ended too long after its deadline");
    }
  }

  void CheckText(const schema::CallerRecord& aCaller)
  {
    if (aCaller.plain()) {
      CheckPlainText(aCaller);
      return;
    }
    std::istringstream words(aCaller.text());
    std::string word;
    std::string generation;
    int expected = 0;
    while (words >> word) {
      const auto token = ParseToken(word);
      if (!token) {
        Report(FindingKind::ForeignText, aCaller.request_id(), word);
        return;
      }
      if (generation.empty()) {
        generation = token->mGeneration;
      }
      if (!CheckToken(aCaller, *token, generation, expected)) {
        return;
      }
      ++expected;
    }
    if (aCaller.complete() && expected != aCaller.max_tokens()) {
      Report(FindingKind::MissingToken,
             aCaller.request_id(),
             "the response ends after token " + std::to_string(expected) +
               " of " + std::to_string(aCaller.max_tokens()));
    }
    CheckOwner(aCaller, generation);
  }

  bool CheckToken(const schema::CallerRecord& aCaller,
                  const ParsedToken& aToken,
                  const std::string& aGeneration,
                  int aExpected)
  {
    const std::string at = "at index " + std::to_string(aExpected);
    if (aToken.mGeneration != aGeneration) {
      Report(FindingKind::MixedGenerations, aCaller.request_id(), at);
      return false;
    }
    if (aToken.mIndex < aExpected) {
      Report(FindingKind::RepeatedToken, aCaller.request_id(), at);
      return false;
    }
    if (aToken.mIndex > aExpected) {
      Report(FindingKind::MissingToken, aCaller.request_id(), at);
      return false;
    }
    return true;
  }

  void CheckPlainText(const schema::CallerRecord& aCaller)
  {
    const std::string expected =
      "done " + aCaller.request_id() + " " + aCaller.body();
    if (aCaller.complete() && aCaller.text() != expected) {
      Report(FindingKind::ForeignText, aCaller.request_id(), aCaller.text());
    }
  }

  void CheckOwner(const schema::CallerRecord& aCaller,
                  const std::string& aGeneration)
  {
    const auto it = mRequestsByGeneration.find(aGeneration);
    if (aGeneration.empty() || it == mRequestsByGeneration.end()) {
      return;
    }
    if (it->second.count(aCaller.request_id()) == 0) {
      Report(FindingKind::ForeignText,
             aCaller.request_id(),
             "generation " + aGeneration + " belongs to another request");
    }
  }

  void CheckNotRun(const schema::CallerRecord& aCaller)
  {
    const auto it = mByRequest.find(aCaller.request_id());
    if (aCaller.run() == "not_run" && it != mByRequest.end() &&
        !aCaller.request_id().empty()) {
      Report(FindingKind::FalseNotRun,
             aCaller.request_id(),
             "started on " + it->second.front()->target());
    }
  }

  void CheckRuns(const schema::CallerRecord& aCaller)
  {
    const auto it = mByKey.find(aCaller.caller_key());
    if (!aCaller.non_idempotent() || aCaller.caller_key().empty() ||
        it == mByKey.end() || !mCheckedKeys.insert(it->first).second) {
      return;
    }
    const auto starts =
      std::count_if(it->second.begin(), it->second.end(), [](const auto* aRun) {
        return aRun->plain() || aRun->resumed_at() == 0;
      });
    if (starts > 1) {
      Report(FindingKind::SecondRun,
             aCaller.request_id(),
             std::to_string(starts) + " starts");
    }
  }

  void CheckContinuations()
  {
    for (const auto& it : mHistory.targets()) {
      if (it.wrong_tokens()) {
        Report(FindingKind::WrongContinuation,
               it.request_id(),
               "the resumed tokens differ from the generation's tokens");
      }
    }
  }

  void CheckLeaving()
  {
    for (const auto& leave : mHistory.leaves()) {
      for (const auto& it : mHistory.targets()) {
        if (it.target() == leave.target() &&
            it.at() > leave.at() + mBounds.mLeavingGraceMs) {
          Report(FindingKind::WorkAfterLeaving, it.request_id(), it.target());
        }
      }
    }
  }

  void CheckRevisions()
  {
    std::map<std::string, unsigned> highestRevision;
    std::vector<const schema::RevisionRecord*> records;
    for (const auto& it : mHistory.revisions()) {
      records.push_back(&it);
    }
    std::stable_sort(records.begin(),
                     records.end(),
                     [](const auto* aLeft, const auto* aRight) {
                       return aLeft->at() < aRight->at();
                     });
    for (const auto* it : records) {
      unsigned& known = highestRevision[it->router()];
      if (it->revision() < known) {
        Report(FindingKind::ConfigurationWentBack,
               std::string(),
               it->router() + " went back to revision " +
                 std::to_string(it->revision()));
      }
      known = std::max(known, it->revision());
    }
  }

  void CheckAccepted()
  {
    for (const auto& accept : mHistory.accepts()) {
      for (const auto& it : mHistory.revisions()) {
        if (it.at() > accept.at() + mBounds.mMaxConfigurationDelayMs &&
            it.revision() < accept.revision()) {
          Report(FindingKind::ConfigurationLate,
                 std::string(),
                 it.router() + " is still at revision " +
                   std::to_string(it.revision()));
          break;
        }
      }
    }
  }

  const schema::History& mHistory;
  const HistoryBounds& mBounds;
  std::map<std::string, std::vector<const schema::TargetRecord*>> mByRequest;
  std::map<std::string, std::vector<const schema::TargetRecord*>> mByKey;
  std::map<std::string, std::set<std::string>> mRequestsByGeneration;
  std::set<std::string> mCheckedKeys;
  std::vector<Finding> mFindings;
};

} // namespace

std::string_view
NameOf(FindingKind aKind)
{
  return kKindNames.NameOf(aKind);
}

std::vector<Finding>
CheckHistory(const schema::History& aHistory, const HistoryBounds& aBounds)
{
  return Checker(aHistory, aBounds).Run();
}

} // namespace quetzalquay
