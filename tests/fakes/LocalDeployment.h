#ifndef QUETZALQUAY_TESTS_FAKES_LOCALDEPLOYMENT_H_INCLUDED
#define QUETZALQUAY_TESTS_FAKES_LOCALDEPLOYMENT_H_INCLUDED

#include "control/ResourceApi.h"
#include "generated/messages.pb.h"
#include "generated/settings.pb.h"
#include "router/Router.h"
#include "standin/StandinEngine.h"
#include "standin/StandinPlatform.h"
#include "standin/StandinService.h"
#include "wire/HttpClient.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

// What a test wants of a deployment.
struct DeploymentPlan
{
  int mEngines = 3;
  int mRouters = 2;
  int mStepUs = 10000;
  quetzalquay::schema::RecoveryPreset mPreset =
    quetzalquay::schema::LOW_LATENCY;
  int mJournalMs = 300;
  int mStopGraceMs = 3000;
  int mServiceDelayMs = 20;
  // Whether the routers follow the store and each other, with a resource API.
  bool mFollowStore = false;
};

// Routers and stand-ins of one test, in this process on loopback addresses of
// their own.
class LocalDeployment
{
public:
  explicit LocalDeployment(const DeploymentPlan& aPlan);
  ~LocalDeployment();

  quetzalquay::HttpAddress RouterAddress(int aRouter) const;
  quetzalquay::Router& RouterAt(int aRouter) { return *mRouters[aRouter]; }

  // Stops a router, as by a stop signal.
  void StopRouter(int aRouter);

  // Starts a router that was stopped, as a new incarnation.
  void StartRouter(int aRouter);

  // Status that a router gives of itself.
  quetzalquay::schema::RouterStatus Status(int aRouter) const;

  // Calls the resource API as an operator.
  quetzalquay::HttpResult CallApi(const std::string& aMethod,
                                  const std::string& aPath,
                                  const std::string& aBody);

  // Waits until a condition holds. Returns false after a generous time.
  static bool WaitFor(const std::function<bool()>& aCondition);

  // Puts an engine on the platform's list as leaving.
  void ListAsLeaving(int aEngine, int aStopInMs);

  // Injects a fault into an engine, the service or the platform.
  void FaultEngine(int aEngine, const std::string& aKind, int aForMs);
  void FaultService(const std::string& aKind, int aForMs);
  void FaultPlatform(const std::string& aKind, int aForMs);

  // Cuts one engine off from one router.
  void CutEngine(int aEngine, int aRouter, int aForMs);

  // What an engine has done.
  quetzalquay::schema::TargetRecords EngineRecords(int aEngine) const;
  quetzalquay::schema::TargetRecords ServiceRecords() const;

  // Starts of all engines.
  std::vector<quetzalquay::schema::TargetRecord> AllStarts() const;

  // Number of the engine that runs a generation, -1 when none does.
  int EngineOf(const std::string& aGeneration) const;

  int Engines() const { return mPlan.mEngines; }

  static constexpr char kKey[] = "test-key";
  static constexpr char kOtherKey[] = "other-key";

private:
  std::string Address(int aKind, int aNumber) const;
  void Fault(const std::string& aAddress,
             const quetzalquay::schema::FaultOrder& aOrder);
  quetzalquay::schema::TargetRecords Records(const std::string& aAddress) const;
  quetzalquay::schema::Configuration Configuration() const;
  quetzalquay::schema::RouterSettings RouterSettings(int aRouter) const;
  quetzalquay::schema::StandinEngineSettings EngineSettings(int aEngine) const;
  void WaitReady();
  void StartApi();

  DeploymentPlan mPlan;
  int mNet;
  std::unique_ptr<quetzalquay::StandinPlatform> mPlatform;
  std::unique_ptr<quetzalquay::StandinService> mService;
  std::vector<std::unique_ptr<quetzalquay::StandinEngine>> mEngines;
  std::vector<std::unique_ptr<quetzalquay::Router>> mRouters;
  std::unique_ptr<quetzalquay::ResourceApi> mApi;
};

// One caller's request in a test, made by hand.
class TestCaller
{
public:
  explicit TestCaller(const LocalDeployment& aDeployment);

  // Called after each token with the number of tokens so far; returning false
  // closes the connection.
  using OnToken = std::function<bool(int)>;

  // Streams a request from a router and keeps what it got; a second call with
  // the same caller goes on with the last event's id.
  void Stream(int aRouter, const OnToken& aOnToken = OnToken());

  // Sends any request and returns the answer.
  quetzalquay::HttpResult Send(int aRouter,
                               const std::string& aMethod,
                               const std::string& aPath,
                               const std::string& aBody);

  std::map<std::string, std::string> mHeaders;
  std::string mPrompt = "tell a story";
  int mMaxTokens = 100;

  // What the caller got.
  std::vector<std::string> mTokens;
  std::string mLastEventId;
  std::string mRequestId;
  bool mDone = false;
  int mStatus = 0;
  quetzalquay::schema::ErrorBody mError;
  double mLongestGapMs = 0;

  // Requires the tokens of one whole generation, in order.
  void RequireWhole() const;
  // Requires that what has been read is the beginning of one generation.
  void RequirePrefix() const;

  // Generation that the first token names.
  std::string Generation() const;

private:
  const LocalDeployment& mDeployment;
};

#endif // QUETZALQUAY_TESTS_FAKES_LOCALDEPLOYMENT_H_INCLUDED
