#ifndef QUETZALQUAY_TESTS_FAKES_SERVERPROCESS_H_INCLUDED
#define QUETZALQUAY_TESTS_FAKES_SERVERPROCESS_H_INCLUDED

#include <memory>
#include <string>
#include <sys/types.h>

namespace quetzalquay {
class StandinPlatform;
class StandinService;
}

// One of the project's server programs; the destructor kills it.
class ServerProcess
{
public:
  // Starts a program with settings in JSON.
  ServerProcess(const std::string& aBinary, const std::string& aSettings);
  ~ServerProcess();
  ServerProcess(const ServerProcess&) = delete;
  ServerProcess& operator=(const ServerProcess&) = delete;

  pid_t Pid() const { return mProcess; }
  bool IsRunning();
  int PeakMemoryMb() const;

  // Whether the process exits after SIGTERM.
  bool Stop();

private:
  std::string mSettingsFile;
  pid_t mProcess = -1;
};

// A router process in front of a stand-in service, with 16 threads.
class RouterUnderTest
{
public:
  static constexpr char kTarget[] = "/services/desk/lookup";

  // aServiceDelayMs is the time that the service takes for a request.
  explicit RouterUnderTest(int aServiceDelayMs = 5);
  ~RouterUnderTest();
  RouterUnderTest(const RouterUnderTest&) = delete;
  RouterUnderTest& operator=(const RouterUnderTest&) = delete;

  // Sends an ordinary request; see Statuses().
  std::string Call() const;

  int Port() const { return mPort; }
  int PeerPort() const { return mPeerPort; }
  int MetricsPort() const { return mMetricsPort; }
  ServerProcess& Process() { return *mProcess; }

private:
  int mServicePort;
  int mPort;
  int mPeerPort;
  int mMetricsPort;
  std::string mConfigurationFile;
  std::unique_ptr<quetzalquay::StandinService> mService;
  std::unique_ptr<ServerProcess> mProcess;
};

// A resource API process in front of a stand-in platform.
class ApiUnderTest
{
public:
  static constexpr char kTarget[] = "/api/v1/import";

  ApiUnderTest();
  ~ApiUnderTest();
  ApiUnderTest(const ApiUnderTest&) = delete;
  ApiUnderTest& operator=(const ApiUnderTest&) = delete;

  // Sends an ordinary request; see Statuses().
  std::string Call() const;

  int Port() const { return mPort; }
  ServerProcess& Process() { return *mProcess; }

private:
  int mPort;
  std::unique_ptr<quetzalquay::StandinPlatform> mPlatform;
  std::unique_ptr<ServerProcess> mProcess;
};

#endif // QUETZALQUAY_TESTS_FAKES_SERVERPROCESS_H_INCLUDED
