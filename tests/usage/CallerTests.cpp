#include "LocalDeployment.h"

#include "wire/Json.h"

#include <atomic>
#include <cppunit/extensions/HelperMacros.h>
#include <mutex>
#include <thread>

using namespace quetzalquay;

namespace {

constexpr char kValidBody[] =
  R"({"model":"story","prompt":"tell","max_tokens":3})";

} // namespace

class CallerTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(CallerTests);
  CPPUNIT_TEST(InvalidRequestsAreRejectedWithAReason);
  CPPUNIT_TEST(CompletionAndChatRequestsAreServed);
  CPPUNIT_TEST(EventIdsOfOtherRequestsAreRejected);
  CPPUNIT_TEST(APassedDeadlineEndsTheRequest);
  CPPUNIT_TEST(ANonIdempotentRequestRunsOnce);
  CPPUNIT_TEST(ConcurrentDuplicatesRunOnce);
  CPPUNIT_TEST(ALostClaimResponseIsResolved);
  CPPUNIT_TEST(AStoreOutageRejectsUnclaimedRequests);
  CPPUNIT_TEST(ANonIdempotentPlainCallIsNotRetried);
  CPPUNIT_TEST(APlainLookupIsServed);
  CPPUNIT_TEST(ConcurrentCallersGetTheirOwnResponses);
  CPPUNIT_TEST(ASlowReaderDoesNotDelayOtherStreams);
  CPPUNIT_TEST(AnExplanationListsEveryDispatch);
  CPPUNIT_TEST_SUITE_END();

public:
  void InvalidRequestsAreRejectedWithAReason()
  {
    LocalDeployment deployment{ DeploymentOptions() };
    struct Row
    {
      const char* mBody;
      int mStatus;
      const char* mCode;
    };
    const std::string large(100000, 'x');
    const Row rows[] = {
      { "{\"model\":", 400, "invalid_request" },
      { "[1]", 400, "invalid_request" },
      { R"({"model":"story","prompt":7})", 400, "invalid_request" },
      { R"({"model":"story","prompt":""})", 400, "invalid_request" },
      { R"({"model":"none","prompt":"p"})", 404, "unknown_model" },
      { R"({"model":"story","prompt":"p","adapter":"no"})",
        404,
        "unknown_model" },
      { R"({"model":"story","prompt":"p","max_tokens":0})",
        400,
        "invalid_request" },
      { R"({"model":"story","prompt":"p","max_tokens":"many"})",
        400,
        "invalid_request" },
      { R"({"model":"story","prompt":"p","temperature":9})",
        400,
        "invalid_request" },
      { R"({"model":"story","prompt":"p","n":2})", 400, "invalid_request" },
      { large.c_str(), 413, "payload_too_large" },
    };
    for (const Row& it : rows) {
      TestCaller caller(deployment);
      RequireRejection(caller, it.mBody, it.mStatus, it.mCode);
    }
    TestCaller caller(deployment);
    caller.mHeaders["Authorization"] = "Bearer wrong";
    RequireRejection(caller, kValidBody, 401, "unauthorized");
    RequireHeaderRejection(deployment, "X-Request-Deadline-Ms", "-5");
    RequireHeaderRejection(deployment, "X-Request-Deadline-Ms", "1e9");
    RequireHeaderRejection(
      deployment, "X-Request-Deadline-Ms", "99999999999999999999");
    RequireHeaderRejection(deployment, "X-Non-Idempotent", "maybe");
    RequireHeaderRejection(
      deployment, "Idempotency-Key", std::string(300, 'k'));
    CPPUNIT_ASSERT(deployment.AllStarts().empty());
  }

  void CompletionAndChatRequestsAreServed()
  {
    LocalDeployment deployment{ DeploymentOptions() };
    TestCaller caller(deployment);
    const auto text = caller.Send(0, "POST", "/v1/completions", kValidBody);
    CPPUNIT_ASSERT_EQUAL(200, text.mStatus);
    CPPUNIT_ASSERT(text.mBody.find("text_completion") != std::string::npos);
    const auto chat =
      caller.Send(0,
                  "POST",
                  "/v1/chat/completions",
                  R"({"model":"story","max_tokens":3,"adapter":"wards",
          "stream":true,"messages":[{"role":"user","content":"x"}]})");
    CPPUNIT_ASSERT_EQUAL(200, chat.mStatus);
    CPPUNIT_ASSERT(chat.mBody.find("chat.completion.chunk") !=
                   std::string::npos);
    CPPUNIT_ASSERT(chat.mBody.find("[DONE]") != std::string::npos);
  }

  void EventIdsOfOtherRequestsAreRejected()
  {
    LocalDeployment deployment{ DeploymentOptions() };
    TestCaller owner(deployment);
    owner.Stream(0, [](int aCount) { return aCount < 10; });
    TestCaller forger(deployment);
    forger.mLastEventId = owner.mLastEventId + "AAAA";
    forger.Stream(1);
    CPPUNIT_ASSERT_EQUAL(std::string("invalid_position"), forger.mError.code());
    TestCaller otherWorkspace(deployment);
    otherWorkspace.mHeaders["Authorization"] =
      std::string("Bearer ") + LocalDeployment::kOtherKey;
    otherWorkspace.mLastEventId = owner.mLastEventId;
    otherWorkspace.Stream(1);
    CPPUNIT_ASSERT_EQUAL(std::string("invalid_position"),
                         otherWorkspace.mError.code());
    CPPUNIT_ASSERT(otherWorkspace.mTokens.empty());
    TestCaller changed(deployment);
    changed.mPrompt = "another prompt";
    changed.mLastEventId = owner.mLastEventId;
    changed.Stream(1);
    CPPUNIT_ASSERT_EQUAL(std::string("invalid_position"),
                         changed.mError.code());
  }

  void APassedDeadlineEndsTheRequest()
  {
    LocalDeployment deployment{ DeploymentOptions() };
    TestCaller caller(deployment);
    caller.mMaxTokens = 1000;
    caller.mHeaders["X-Request-Deadline-Ms"] = "500";
    caller.Stream(0);
    CPPUNIT_ASSERT(!caller.mDone);
    CPPUNIT_ASSERT_EQUAL(std::string("deadline_exceeded"),
                         caller.mError.code());
    CPPUNIT_ASSERT_EQUAL(std::string("ran"), caller.mError.run());
    caller.RequirePrefix();
  }

  void ANonIdempotentRequestRunsOnce()
  {
    LocalDeployment deployment{ DeploymentOptions() };
    TestCaller first(deployment);
    first.mHeaders["Idempotency-Key"] = "protest-1";
    first.mHeaders["X-Non-Idempotent"] = "true";
    first.Stream(0);
    first.RequireComplete();
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    TestCaller again(deployment);
    again.mHeaders = first.mHeaders;
    again.Stream(1);
    CPPUNIT_ASSERT_EQUAL(std::string("already_claimed"), again.mError.code());
    CPPUNIT_ASSERT_EQUAL(std::string("ran"), again.mError.run());
    // The same idempotency key in another workspace is another request.
    TestCaller other(deployment);
    other.mHeaders = first.mHeaders;
    other.mHeaders["Authorization"] =
      std::string("Bearer ") + LocalDeployment::kOtherKey;
    other.Stream(1);
    other.RequireComplete();
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), deployment.AllStarts().size());
  }

  void ConcurrentDuplicatesRunOnce()
  {
    LocalDeployment deployment{ DeploymentOptions() };
    std::atomic<int> completed{ 0 };
    std::vector<std::thread> callers;
    for (int n = 0; n < 6; ++n) {
      callers.emplace_back([&deployment, &completed, n] {
        TestCaller caller(deployment);
        caller.mMaxTokens = 20;
        caller.mHeaders["Idempotency-Key"] = "protest-2";
        caller.mHeaders["X-Non-Idempotent"] = "true";
        caller.Stream(n % 2);
        completed += caller.mDone ? 1 : 0;
      });
    }
    for (std::thread& it : callers) {
      it.join();
    }
    CPPUNIT_ASSERT_EQUAL(1, completed.load());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), deployment.AllStarts().size());
  }

  void ALostClaimResponseIsResolved()
  {
    LocalDeployment deployment{ DeploymentOptions() };
    deployment.InjectPlatformFault("lose_answers", 8000);
    for (int n = 0; n < 6; ++n) {
      TestCaller caller(deployment);
      caller.mMaxTokens = 3;
      caller.mHeaders["Idempotency-Key"] = "protest-" + std::to_string(n);
      caller.mHeaders["X-Non-Idempotent"] = "true";
      caller.Stream(n % 2);
      caller.RequireComplete();
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(6), deployment.AllStarts().size());
  }

  void AStoreOutageRejectsUnclaimedRequests()
  {
    LocalDeployment deployment{ DeploymentOptions() };
    deployment.InjectPlatformFault("store_down", 10000);
    TestCaller caller(deployment);
    caller.mHeaders["Idempotency-Key"] = "protest-1";
    caller.mHeaders["X-Non-Idempotent"] = "true";
    caller.Stream(0);
    CPPUNIT_ASSERT_EQUAL(std::string("store_unavailable"),
                         caller.mError.code());
    CPPUNIT_ASSERT_EQUAL(std::string("not_run"), caller.mError.run());
    CPPUNIT_ASSERT(caller.mError.retry_after_ms() > 0);
    CPPUNIT_ASSERT(deployment.AllStarts().empty());
  }

  void ANonIdempotentPlainCallIsNotRetried()
  {
    DeploymentOptions plan;
    plan.mServiceDelayMs = 800;
    LocalDeployment deployment(plan);
    TestCaller caller(deployment);
    caller.mHeaders["Idempotency-Key"] = "dispatch-1";
    caller.mHeaders["X-Non-Idempotent"] = "true";
    std::thread killer([&] {
      std::this_thread::sleep_for(std::chrono::milliseconds(300));
      deployment.InjectServiceFault("die", 600);
    });
    caller.Send(0, "POST", "/services/desk/dispatch", "crew 7");
    killer.join();
    CPPUNIT_ASSERT_EQUAL(502, caller.mStatus);
    CPPUNIT_ASSERT_EQUAL(std::string("outcome_unknown"), caller.mError.run());
    std::this_thread::sleep_for(std::chrono::milliseconds(1500));
    caller.Send(1, "POST", "/services/desk/dispatch", "crew 7");
    CPPUNIT_ASSERT_EQUAL(std::string("already_claimed"), caller.mError.code());
    CPPUNIT_ASSERT_EQUAL(std::string("outcome_unknown"), caller.mError.run());
    CPPUNIT_ASSERT_EQUAL(1, deployment.ServiceRecords().records_size());
  }

  void APlainLookupIsServed()
  {
    LocalDeployment deployment{ DeploymentOptions() };
    TestCaller caller(deployment);
    const auto answer =
      caller.Send(0, "POST", "/services/desk/lookup", "main 12");
    CPPUNIT_ASSERT_EQUAL(200, answer.mStatus);
    CPPUNIT_ASSERT(answer.mBody.find("main 12") != std::string::npos);
    caller.Send(0, "POST", "/services/none/lookup", "main 12");
    CPPUNIT_ASSERT_EQUAL(std::string("unknown_service"), caller.mError.code());
  }

  void ConcurrentCallersGetTheirOwnResponses()
  {
    LocalDeployment deployment{ DeploymentOptions() };
    std::vector<std::thread> callers;
    std::atomic<int> matching{ 0 };
    std::mutex mutex;
    std::string mismatches;
    for (int n = 0; n < 12; ++n) {
      callers.emplace_back([&, n] {
        TestCaller caller(deployment);
        const std::string body = "call " + std::to_string(n);
        const auto answer =
          caller.Send(n % 2, "POST", "/services/desk/lookup", body);
        const auto found = answer.mHeaders.find("x-request-id");
        const std::string id =
          found == answer.mHeaders.end() ? "none" : found->second;
        if (answer.mBody == "done " + id + " " + body) {
          ++matching;
          return;
        }
        const std::lock_guard<std::mutex> lock(mutex);
        mismatches += id + " got " + answer.mBody + "\n";
      });
    }
    for (std::thread& it : callers) {
      it.join();
    }
    CPPUNIT_ASSERT_EQUAL_MESSAGE(mismatches, 12, matching.load());
  }

  void ASlowReaderDoesNotDelayOtherStreams()
  {
    LocalDeployment deployment{ DeploymentOptions() };
    TestCaller slow(deployment);
    slow.mMaxTokens = 50;
    std::thread reader([&] {
      slow.Stream(0, [](int aCount) {
        if (aCount == 5) {
          std::this_thread::sleep_for(std::chrono::milliseconds(1500));
        }
        return true;
      });
    });
    TestCaller quick(deployment);
    quick.mMaxTokens = 50;
    quick.Stream(0);
    quick.RequireComplete();
    reader.join();
    slow.RequireComplete();
  }

  void AnExplanationListsEveryDispatch()
  {
    LocalDeployment deployment{ DeploymentOptions() };
    TestCaller caller(deployment);
    caller.Stream(0, [&](int aCount) {
      if (aCount == 20) {
        deployment.InjectEngineFault(
          deployment.EngineOf(caller.Generation()), "die", 1000);
      }
      return true;
    });
    caller.RequireComplete();
    const auto answer =
      caller.Send(0, "GET", "/debug/requests/" + caller.mRequestId, "");
    schema::Explanation explanation;
    CPPUNIT_ASSERT(
      !ParseJson(answer.mBody, UnknownFields::Refuse, explanation));
    int dispatched = 0;
    for (const auto& it : explanation.steps()) {
      dispatched += it.event() == "dispatched" ? 1 : 0;
    }
    CPPUNIT_ASSERT_EQUAL(2, dispatched);
    CPPUNIT_ASSERT_EQUAL(
      404, caller.Send(1, "GET", "/debug/requests/r-none", "").mStatus);
  }

private:
  static void RequireRejection(TestCaller& aCaller,
                               const std::string& aBody,
                               int aStatus,
                               const std::string& aCode)
  {
    const auto answer = aCaller.Send(0, "POST", "/v1/completions", aBody);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(aBody.substr(0, 60), aStatus, answer.mStatus);
    CPPUNIT_ASSERT_EQUAL(aCode, aCaller.mError.code());
    CPPUNIT_ASSERT_EQUAL(std::string("not_run"), aCaller.mError.run());
    CPPUNIT_ASSERT(!aCaller.mError.message().empty());
    CPPUNIT_ASSERT_EQUAL(std::string("not_run"),
                         answer.mHeaders.at("x-request-run"));
  }

  static void RequireHeaderRejection(const LocalDeployment& aDeployment,
                                     const std::string& aName,
                                     const std::string& aValue)
  {
    TestCaller caller(aDeployment);
    caller.mHeaders[aName] = aValue;
    RequireRejection(caller, kValidBody, 400, "invalid_request");
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallerTests);
