#include "ServerProcess.h"

#include "Crowd.h"
#include "GatewayProcess.h"

#include "config/SettingsFile.h"
#include "generated/settings.pb.h"
#include "standin/StandinPlatform.h"
#include "standin/StandinService.h"
#include "wire/Crypto.h"
#include "wire/Json.h"

#include <chrono>
#include <cppunit/extensions/HelperMacros.h>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

using namespace quetzalquay;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

// Time within which a process has to exit after SIGTERM.
constexpr milliseconds kExitTime{ 20000 };

schema::Endpoint
MakeEndpoint(const std::string& aIp, int aPort)
{
  schema::Endpoint endpoint;
  endpoint.set_address(aIp);
  endpoint.set_port(aPort);
  return endpoint;
}

schema::Configuration
MakeConfiguration(int aServicePort)
{
  schema::Configuration configuration;
  configuration.set_revision(1);
  auto* place = configuration.add_places();
  place->set_name("hall");
  place->set_region("region");
  auto* workspace = configuration.add_workspaces();
  workspace->set_name("test");
  workspace->add_key_sha256(Sha256Hex("key"));
  workspace->set_weight(1);
  workspace->set_max_concurrent(200);
  workspace->set_requests_per_second(1000);
  workspace->add_services("desk");
  auto* desk = configuration.add_services();
  desk->set_name("desk");
  desk->set_kind(schema::PLAIN);
  auto* target = configuration.add_targets();
  target->set_name("desk-1");
  target->set_service("desk");
  target->set_place("hall");
  target->set_address("127.0.0.1");
  target->set_port(aServicePort);
  return configuration;
}

} // namespace

ServerProcess::ServerProcess(const std::string& aBinary,
                             const std::string& aSettings)
{
  char path[] = "/tmp/quetzal-server-XXXXXX";
  ::close(::mkstemp(path));
  mSettingsFile = path;
  std::ofstream(mSettingsFile) << aSettings;
  mProcess = ForkProcess();
  if (mProcess == 0) {
    for (int other = STDERR_FILENO + 1; other < 1024; ++other) {
      ::close(other);
    }
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    ::execl(aBinary.c_str(),
            aBinary.c_str(),
            "--settings",
            mSettingsFile.c_str(),
            static_cast<char*>(nullptr));
    std::_Exit(127);
  }
}

ServerProcess::~ServerProcess()
{
  if (mProcess > 0) {
    ::kill(mProcess, SIGKILL);
    ::waitpid(mProcess, nullptr, 0);
  }
  std::error_code ec;
  std::filesystem::remove(mSettingsFile, ec);
}

bool
ServerProcess::IsRunning()
{
  if (mProcess > 0 && ::waitpid(mProcess, nullptr, WNOHANG) == mProcess) {
    mProcess = -1;
  }
  return mProcess > 0;
}

int
ServerProcess::PeakMemoryMb() const
{
  std::ifstream in("/proc/" + std::to_string(mProcess) + "/status");
  std::string line;
  while (std::getline(in, line)) {
    if (line.rfind("VmHWM:", 0) == 0) {
      return std::atoi(line.c_str() + 6) / 1024;
    }
  }
  return 0;
}

bool
ServerProcess::Stop()
{
  ::kill(mProcess, SIGTERM);
  const auto until = steady_clock::now() + kExitTime;
  while (IsRunning() && steady_clock::now() < until) {
    std::this_thread::sleep_for(milliseconds(50));
  }
  return mProcess < 0;
}

RouterUnderTest::RouterUnderTest(int aServiceDelayMs)
  : mServicePort(FindFreePort())
  , mPort(FindFreePort())
  , mPeerPort(FindFreePort())
  , mMetricsPort(FindFreePort())
{
  schema::StandinServiceSettings service;
  service.set_name("desk-1");
  service.set_delay_ms(aServiceDelayMs);
  *service.mutable_listen() = MakeEndpoint("127.0.0.1", mServicePort);
  *service.mutable_control() = MakeEndpoint("127.0.0.1", FindFreePort());
  mService = std::make_unique<StandinService>(service);
  CPPUNIT_ASSERT(!mService->Start());
  char path[] = "/tmp/quetzal-configuration-XXXXXX";
  ::close(::mkstemp(path));
  mConfigurationFile = path;
  std::ofstream(mConfigurationFile) << ToJson(MakeConfiguration(mServicePort));
  schema::RouterSettings settings;
  settings.set_name("router-1");
  settings.set_place("hall");
  *settings.mutable_listen() = MakeEndpoint("127.0.0.1", mPort);
  *settings.mutable_peer_listen() = MakeEndpoint("127.0.0.1", mPeerPort);
  settings.mutable_observe()->set_metrics_port(mMetricsPort);
  settings.set_max_connections(16);
  settings.set_configuration_file(mConfigurationFile);
  auto* key = settings.add_event_id_keys();
  key->set_id("k1");
  key->set_secret("a-secret-of-the-tests-with-32-characters");
  settings.set_default_deadline_ms(5000);
  settings.set_max_deadline_ms(60000);
  settings.set_stop_grace_ms(500);
  settings.set_max_body_bytes(65536);
  settings.set_poll_interval_ms(200);
  settings.set_peer_interval_ms(500);
  settings.set_peer_fanout(1);
  mProcess =
    std::make_unique<ServerProcess>("build/quetzal-router", ToJson(settings));
  RequireServed(Call());
}

RouterUnderTest::~RouterUnderTest()
{
  mProcess.reset();
  mService->Stop();
  std::error_code ec;
  std::filesystem::remove(mConfigurationFile, ec);
}

std::string
RouterUnderTest::Call() const
{
  const std::string body(2000, 'b');
  return Statuses(
    "127.0.0.1",
    mPort,
    std::string("POST ") + kTarget + " HTTP/1.1\r\nHost: host\r\n" + kKeyField +
      "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
}

ApiUnderTest::ApiUnderTest()
  : mPort(FindFreePort())
{
  const int platformPort = FindFreePort();
  schema::StandinPlatformSettings platform;
  platform.set_name("platform");
  *platform.mutable_listen() = MakeEndpoint("127.0.0.1", platformPort);
  *platform.mutable_control() = MakeEndpoint("127.0.0.1", FindFreePort());
  platform.set_weights_per_second(100);
  mPlatform = std::make_unique<StandinPlatform>(platform);
  CPPUNIT_ASSERT(!mPlatform->Start());
  schema::ApiSettings settings;
  settings.set_name("api");
  *settings.mutable_listen() = MakeEndpoint("127.0.0.1", mPort);
  *settings.mutable_platform() = MakeEndpoint("127.0.0.1", platformPort);
  settings.add_operator_key_sha256(Sha256Hex("key"));
  mProcess =
    std::make_unique<ServerProcess>("build/quetzal-api", ToJson(settings));
  RequireServed(Call());
}

ApiUnderTest::~ApiUnderTest()
{
  mProcess.reset();
  mPlatform->Stop();
}

std::string
ApiUnderTest::Call() const
{
  const std::string body = ToJson(MakeConfiguration(1));
  return Statuses(
    "127.0.0.1",
    mPort,
    std::string("POST ") + kTarget + " HTTP/1.1\r\nHost: host\r\n" + kKeyField +
      "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
}
