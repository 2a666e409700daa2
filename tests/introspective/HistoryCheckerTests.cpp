#include "Property.h"

#include "generated/messages.pb.h"
#include "history/HistoryChecker.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace quetzalquay;

namespace {

std::string
GenerationText(const std::string& aGeneration, int aFrom, int aTo)
{
  std::string text;
  for (int n = aFrom; n < aTo; ++n) {
    text += aGeneration + ":" + std::to_string(n) + " ";
  }
  return text;
}

schema::CallerRecord*
AddCaller(schema::History& aHistory, const std::string& aId)
{
  auto* caller = aHistory.add_callers();
  caller->set_request_id(aId);
  caller->set_caller_key("key-" + aId);
  caller->set_max_tokens(10);
  caller->set_complete(true);
  caller->set_run("ran");
  caller->set_deadline_at(5000);
  caller->set_ended_at(900);
  caller->set_text(GenerationText("g-" + aId, 0, 10));
  return caller;
}

schema::TargetRecord*
AddStart(schema::History& aHistory, const std::string& aId)
{
  auto* start = aHistory.add_targets();
  start->set_target("t0");
  start->set_request_id(aId);
  start->set_caller_key("key-" + aId);
  start->set_generation("g-" + aId);
  start->set_attempt(1);
  start->set_at(100);
  return start;
}

schema::History
ValidHistory()
{
  schema::History history;
  for (int n = 0; n < 3; ++n) {
    const std::string id = "r" + std::to_string(n);
    AddCaller(history, id)->set_non_idempotent(n == 1);
    AddStart(history, id);
  }
  auto* revision = history.add_revisions();
  revision->set_router("router-1");
  revision->set_at(10);
  revision->set_revision(4);
  return history;
}

bool
HasFinding(const schema::History& aHistory, FindingKind aKind)
{
  for (const Finding& it : CheckHistory(aHistory)) {
    if (it.mKind == aKind) {
      return true;
    }
  }
  return false;
}

} // namespace

class HistoryCheckerTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(HistoryCheckerTests);
  CPPUNIT_TEST(AcceptsValidHistory);
  CPPUNIT_TEST(ReportsMissingRepeatedAndMixedTokens);
  CPPUNIT_TEST(ReportsTextOfAnotherRequest);
  CPPUNIT_TEST(ReportsSecondRunAndWrongContinuation);
  CPPUNIT_TEST(ReportsNotRunForStartedRequest);
  CPPUNIT_TEST(ReportsMissingAndLateResponses);
  CPPUNIT_TEST(ReportsWorkAfterLeaving);
  CPPUNIT_TEST(ReportsRevertedAndLateConfigurations);
  CPPUNIT_TEST_SUITE_END();

public:
  void AcceptsValidHistory()
  {
    CPPUNIT_ASSERT(CheckHistory(ValidHistory()).empty());
  }

  void ReportsMissingRepeatedAndMixedTokens()
  {
    CheckProperty("a missing, repeated or mixed token is found", [] {
      schema::History history = ValidHistory();
      auto* caller = history.mutable_callers(*rc::gen::inRange(0, 3));
      const std::string generation = "g-" + caller->request_id();
      const int at = *rc::gen::inRange(1, 9);
      switch (*rc::gen::inRange(0, 3)) {
        case 0:
          caller->set_text(GenerationText(generation, 0, at) +
                           GenerationText(generation, at + 1, 10));
          RC_ASSERT(HasFinding(history, FindingKind::MissingToken));
          break;
        case 1:
          caller->set_text(GenerationText(generation, 0, at) +
                           GenerationText(generation, at - 1, 10));
          RC_ASSERT(HasFinding(history, FindingKind::RepeatedToken));
          break;
        default:
          caller->set_text(GenerationText(generation, 0, at) +
                           GenerationText("g-x", at, 10));
          RC_ASSERT(HasFinding(history, FindingKind::MixedGenerations));
          break;
      }
    });
  }

  void ReportsTextOfAnotherRequest()
  {
    schema::History crossed = ValidHistory();
    crossed.mutable_callers(0)->set_text(GenerationText("g-r2", 0, 10));
    CPPUNIT_ASSERT(HasFinding(crossed, FindingKind::ForeignText));
    schema::History plain = ValidHistory();
    plain.mutable_callers(0)->set_plain(true);
    plain.mutable_callers(0)->set_body("b");
    plain.mutable_callers(0)->set_text("done r2 b");
    CPPUNIT_ASSERT(HasFinding(plain, FindingKind::ForeignText));
  }

  void ReportsSecondRunAndWrongContinuation()
  {
    schema::History history = ValidHistory();
    AddStart(history, "r1")->set_generation("g-again");
    CPPUNIT_ASSERT(HasFinding(history, FindingKind::SecondRun));
    schema::History continued = ValidHistory();
    AddStart(continued, "r1")->set_resumed_at(5);
    CPPUNIT_ASSERT(!HasFinding(continued, FindingKind::SecondRun));
    continued.mutable_targets(3)->set_wrong_tokens(true);
    CPPUNIT_ASSERT(HasFinding(continued, FindingKind::WrongContinuation));
  }

  void ReportsNotRunForStartedRequest()
  {
    schema::History history = ValidHistory();
    history.mutable_callers(2)->set_complete(false);
    history.mutable_callers(2)->set_error_code("overloaded");
    history.mutable_callers(2)->set_run("not_run");
    CPPUNIT_ASSERT(HasFinding(history, FindingKind::FalseNotRun));
  }

  void ReportsMissingAndLateResponses()
  {
    schema::History silent = ValidHistory();
    silent.mutable_callers(0)->set_complete(false);
    CPPUNIT_ASSERT(HasFinding(silent, FindingKind::Unanswered));
    schema::History late = ValidHistory();
    late.mutable_callers(0)->set_ended_at(6001);
    CPPUNIT_ASSERT(HasFinding(late, FindingKind::LateAnswer));
  }

  void ReportsWorkAfterLeaving()
  {
    schema::History history = ValidHistory();
    auto* leave = history.add_leaves();
    leave->set_target("t0");
    leave->set_at(50);
    CPPUNIT_ASSERT(!HasFinding(history, FindingKind::WorkAfterLeaving));
    AddStart(history, "r0")->set_at(3051);
    CPPUNIT_ASSERT(HasFinding(history, FindingKind::WorkAfterLeaving));
  }

  void ReportsRevertedAndLateConfigurations()
  {
    schema::History history = ValidHistory();
    auto* revision = history.add_revisions();
    revision->set_router("router-1");
    revision->set_at(9500);
    revision->set_revision(3);
    CPPUNIT_ASSERT(HasFinding(history, FindingKind::ConfigurationWentBack));
    auto* accept = history.add_accepts();
    accept->set_at(400);
    accept->set_revision(5);
    CPPUNIT_ASSERT(HasFinding(history, FindingKind::ConfigurationLate));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HistoryCheckerTests);
