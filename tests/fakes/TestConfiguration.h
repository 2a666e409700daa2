#ifndef QUETZALQUAY_TESTS_FAKES_TESTCONFIGURATION_H_INCLUDED
#define QUETZALQUAY_TESTS_FAKES_TESTCONFIGURATION_H_INCLUDED

#include <string>
#include <utility>
#include <vector>

// A route of a configuration. Its host is "host", its path prefix "/NAME/".
struct TestRoute
{
  std::string mName;
  std::string mKind;
  int mMaxAttempts = 3;
  int mTimeoutMs = 9000;
  int mLatencyMs = 3000;
  // Services and weights; a single one is written without its weight.
  std::vector<std::pair<std::string, double>> mServices;
  // Whether its streams may go on at another target.
  bool mResumable = true;
  int mEventGapMs = 700;
};

struct TestWorkspace
{
  std::string mName;
  std::vector<std::string> mKeys;
  int mPriority = 1;
};

struct TestLimits
{
  int mHeadBytes = 16384;
  int mBodyBytes = 100000;
  int mHeadTimeoutMs = 3000;
  int mIdleTimeoutMs = 15000;
};

// The configuration that a fake store holds, by default with the routes of
// GatewayTestCluster::Request().
struct TestConfiguration
{
  static constexpr char kService[] = "engines";
  static constexpr char kSecondService[] = "engines-2";

  std::vector<TestRoute> mRoutes = {
    { "plain", "safe", 3, 9000, 3000, { { kService, 1 } }, true },
    { "unsafe", "unsafe", 1, 9000, 3000, { { kService, 1 } }, true },
    { "stream", "streaming", 5, 9000, 3000, { { kService, 1 } }, true },
    { "brief", "safe", 3, 300, 3000, { { kService, 1 } }, true },
    { "quick", "safe", 4, 1500, 300, { { kService, 1 } }, true },
    { "paced", "streaming", 5, 20000, 500, { { kService, 1 } }, true, 250 },
  };
  std::vector<std::string> mServices = { kService };
  // Whether runs send copies of their KV cache; otherwise copies are ordered.
  bool mRunsSendCopies = true;
  TestLimits mLimits;
  std::vector<TestWorkspace> mWorkspaces = { { "w", { "key" }, 1 } };

  // Text of the store's row.
  std::string ToJson(long long aVersion) const;

  // The route of the given name.
  TestRoute& RouteOf(const std::string& aName);
};

#endif // QUETZALQUAY_TESTS_FAKES_TESTCONFIGURATION_H_INCLUDED
