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

// Options of a test deployment.
struct DeploymentOptions
{
  int mEngines = 3;
  int mRouters = 2;
  int mStepUs = 10000;
  quetzalquay::schema::RecoveryPreset mPreset =
    quetzalquay::schema::LOW_LATENCY;
  int mJournalMs = 300;
  int mStopGraceMs = 3000;
  int mServiceDelayMs = 20;
  // Whether the routers read their configuration from the store, which a
  // resource API writes, and from each other, instead of getting it at start.
  bool mFollowStore = false;
};

// Routers and stand-ins of a test. All run in this process, each on a loopback
// address of its own.
class LocalDeployment
{
public:
  explicit LocalDeployment(const DeploymentOptions& aOptions);
  ~LocalDeployment();

  quetzalquay::HttpAddress RouterAddress(int aRouter) const;
  quetzalquay::Router& RouterAt(int aRouter) { return *mRouters[aRouter]; }

  // Stops a router gracefully.
  void StopRouter(int aRouter);

  // Starts a stopped router again, as a new incarnation.
  void StartRouter(int aRouter);

  // Status that a router reports.
  quetzalquay::schema::RouterStatus Status(int aRouter) const;

  // Calls the resource API as an operator.
  quetzalquay::HttpResult CallApi(const std::string& aMethod,
                                  const std::string& aPath,
                                  const std::string& aBody);

  // Waits until a condition holds. Returns false if it still fails after 15 s.
  static bool WaitFor(const std::function<bool()>& aCondition);

  // Replaces the platform's host list by the host of one engine, as leaving and
  // to be stopped in aStopInMs.
  void ListAsLeaving(int aEngine, int aStopInMs);

  // Injects a fault into an engine, the service or the platform.
  void InjectEngineFault(int aEngine, const std::string& aKind, int aForMs);
  void InjectServiceFault(const std::string& aKind, int aForMs);
  void InjectPlatformFault(const std::string& aKind, int aForMs);

  void PartitionEngine(int aEngine, int aRouter, int aForMs);

  // Requests that an engine, or the service, has executed.
  quetzalquay::schema::TargetRecords EngineRecords(int aEngine) const;
  quetzalquay::schema::TargetRecords ServiceRecords() const;

  // Records of all engines, one for each generation started or resumed.
  std::vector<quetzalquay::schema::TargetRecord> AllStarts() const;

  // Index of the engine with the latest attempt of a generation; -1 if none.
  int EngineOf(const std::string& aGeneration) const;

  int Engines() const { return mOptions.mEngines; }

  static constexpr char kKey[] = "test-key";
  static constexpr char kOtherKey[] = "other-key";

private:
  std::string LoopbackAddress(int aKind, int aNumber) const;
  void InjectFault(const std::string& aAddress,
                   const quetzalquay::schema::FaultOrder& aOrder);
  quetzalquay::schema::TargetRecords Records(const std::string& aAddress) const;
  quetzalquay::schema::Configuration Configuration() const;
  quetzalquay::schema::RouterSettings RouterSettings(int aRouter) const;
  quetzalquay::schema::StandinEngineSettings EngineSettings(int aEngine) const;
  void WaitUntilReady();
  void StartApi();

  DeploymentOptions mOptions;
  int mNetwork;
  std::unique_ptr<quetzalquay::StandinPlatform> mPlatform;
  std::unique_ptr<quetzalquay::StandinService> mService;
  std::vector<std::unique_ptr<quetzalquay::StandinEngine>> mEngines;
  std::vector<std::unique_ptr<quetzalquay::Router>> mRouters;
  std::unique_ptr<quetzalquay::ResourceApi> mApi;
};

// Sends the requests of one caller to a deployment and keeps what it received.
class TestCaller
{
public:
  explicit TestCaller(const LocalDeployment& aDeployment);

  // Called after each token with the number of tokens so far; returning false
  // closes the connection.
  using OnToken = std::function<bool(int)>;

  // Sends a streaming request to a router and keeps the tokens received.
  // Another call resumes the stream after the last event.
  void Stream(int aRouter, const OnToken& aOnToken = OnToken());

  // Sends any request and returns the response.
  quetzalquay::HttpResult Send(int aRouter,
                               const std::string& aMethod,
                               const std::string& aPath,
                               const std::string& aBody);

  std::map<std::string, std::string> mHeaders;
  std::string mPrompt = "tell a story";
  int mMaxTokens = 100;

  // What the caller received.
  std::vector<std::string> mTokens;
  std::string mLastEventId;
  std::string mRequestId;
  bool mDone = false;
  int mStatus = 0;
  quetzalquay::schema::ErrorBody mError;
  double mLongestGapMs = 0;

  // Requires all tokens of one generation, in order.
  void RequireComplete() const;
  // Requires that the tokens received are the first ones of one generation.
  void RequirePrefix() const;

  // Generation that the first token belongs to.
  std::string Generation() const;

private:
  const LocalDeployment& mDeployment;
};

#endif // QUETZALQUAY_TESTS_FAKES_LOCALDEPLOYMENT_H_INCLUDED
