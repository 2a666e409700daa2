#include "GatewayProcess.h"

#include <arpa/inet.h>
#include <condition_variable>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <mutex>
#include <netinet/in.h>
#include <stdexcept>
#include <sys/file.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

using namespace quetzalquay;

namespace {

constexpr char kGatewayBinary[] = "build/quetzal-gateway";

// Library that leads connections to runners to the links of a gateway.
constexpr char kLinksLibrary[] = "build/libquetzal-test-links.so";

// Environment variable with the path of another gateway binary, to compare
// versions by the same test.
constexpr char kGatewayBinaryVariable[] = "QUETZAL_TEST_GATEWAY";

// The same for every other gateway of a test only, to mix builds.
constexpr char kOtherBinaryVariable[] = "QUETZAL_TEST_OTHER_GATEWAY";

// Directory to which the logs of all gateways are appended, one file for each
// name. Without the variable they are discarded.
constexpr char kLogDirectoryVariable[] = "QUETZAL_TEST_LOGS";

// Interval at which the memory of a process with a limit is read.
constexpr std::chrono::milliseconds kMemoryWatchInterval{ 10 };

// Ports below those that the system gives to outgoing connections, which could
// take a port before its user listens on it. They are divided into blocks that
// belong to one test process each while it runs.
constexpr int kFirstPort = 10000;
constexpr int kPortsPerBlock = 100;
constexpr int kPortBlocks = 220;
constexpr char kPortLockPrefix[] = "/tmp/quetzal-test-ports-";

// Held while a port is tried: a process that is forked meanwhile would keep the
// socket, and with it the port, until it closes what it has inherited.
std::mutex sPortMutex;

sockaddr_in
SocketAddress(const std::string& aIp, int aPort)
{
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_port = htons(static_cast<std::uint16_t>(aPort));
  ::inet_pton(AF_INET, aIp.c_str(), &at.sin_addr);
  return at;
}

// Reserves a block of ports until this process ends, and returns the first one.
int
ReservePortBlock()
{
  static int next = static_cast<int>(::getpid());
  for (int n = 0; n < kPortBlocks; ++n) {
    const int block = next++ % kPortBlocks;
    const std::string file = kPortLockPrefix + std::to_string(block);
    // Stays open, as closing it would end the reservation.
    const int fd = ::open(file.c_str(), O_CREAT | O_RDWR | O_CLOEXEC, 0666);
    if (fd >= 0 && ::flock(fd, LOCK_EX | LOCK_NB) == 0) {
      return kFirstPort + block * kPortsPerBlock;
    }
    ::close(fd);
  }
  throw std::runtime_error("all blocks of ports are in use");
}

std::string
BinaryOf(const GatewayTestSettings& aSettings)
{
  if (!aSettings.mBinary.empty()) {
    return aSettings.mBinary;
  }
  const char* other = std::getenv(kGatewayBinaryVariable);
  return other == nullptr ? kGatewayBinary : other;
}

// Variables of the environment of a process.
std::vector<std::string>
EnvironmentOf(const GatewayTestSettings& aSettings)
{
  std::vector<std::string> variables;
  for (char** it = ::environ; *it != nullptr; ++it) {
    variables.emplace_back(*it);
  }
  if (!aSettings.mLinks.empty()) {
    variables.push_back(std::string("LD_PRELOAD=") + kLinksLibrary);
    variables.push_back("QUETZAL_TEST_LINKS=" + aSettings.mLinks);
  }
  return variables;
}

// Path of the program that a process runs; empty if it has ended.
std::filesystem::path
ProgramOf(const std::string& aProcess)
{
  std::error_code ec;
  return std::filesystem::read_symlink("/proc/" + aProcess + "/exe", ec);
}

// Makes a pipe and fills it up.
void
FillPipe(std::array<int, 2>& aPipe)
{
  if (::pipe(aPipe.data()) != 0) {
    throw std::runtime_error("no pipe");
  }
  const int flags = ::fcntl(aPipe[1], F_GETFL);
  ::fcntl(aPipe[1], F_SETFL, flags | O_NONBLOCK);
  while (::write(aPipe[1], "x", 1) == 1) {
  }
  ::fcntl(aPipe[1], F_SETFL, flags);
}

} // namespace

pid_t
ForkProcess()
{
  const std::lock_guard<std::mutex> lock(sPortMutex);
  return ::fork();
}

int
FindFreePort(const std::string& aIp)
{
  const std::lock_guard<std::mutex> lock(sPortMutex);
  static int next = 0;
  static int end = 0;
  for (int n = 0; n < kPortBlocks * kPortsPerBlock; ++n) {
    if (next == end) {
      next = ReservePortBlock();
      end = next + kPortsPerBlock;
    }
    const int port = next++;
    const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    const sockaddr_in at = SocketAddress(aIp, port);
    const bool bound =
      ::bind(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0;
    ::close(fd);
    if (bound) {
      return port;
    }
  }
  throw std::runtime_error("cannot find a free port");
}

GatewayProcess::GatewayProcess(std::string aName,
                               const std::string& aPlace,
                               std::string aIp,
                               int aLoadPort,
                               int aRelayPort,
                               const std::vector<std::string>& aPeers,
                               std::size_t aIndex,
                               const std::string& aStore,
                               const GatewayTestSettings& aSettings)
  : mName(std::move(aName))
  , mIp(std::move(aIp))
  , mSettings(aSettings)
{
  const char* other = std::getenv(kOtherBinaryVariable);
  if (other != nullptr && aIndex % 2 == 1 && mSettings.mBinary.empty()) {
    mSettings.mBinary = other;
  }
  for (int n = 0; n < 3; ++n) {
    mPorts.push_back(FindFreePort(mIp));
  }
  const auto at = [this](int aPort) {
    return mIp + ":" + std::to_string(mPorts[static_cast<std::size_t>(aPort)]);
  };
  std::string seeds;
  for (const std::string& it : aPeers) {
    seeds += (seeds.empty() ? "\"" : ",\"") + it + "\"";
  }
  char path[] = "/tmp/quetzal-gateway-XXXXXX";
  const int fd = ::mkstemp(path);
  ::close(fd);
  mSettingsFile = path;
  mFixedSettings = R"({"host":")" + mName + R"(","place":")" + aPlace +
                   R"(","region":"r","callers":")" + at(0) +
                   R"(","readiness":")" + at(1) + R"(","peers":")" +
                   aPeers[aIndex] + R"(","loadPort":)" +
                   std::to_string(aLoadPort) + R"(,"relayPort":)" +
                   std::to_string(aRelayPort) + R"(,"metrics":")" + at(2) +
                   R"(","seeds":[)" + seeds + R"(],"store":")" + aStore +
                   R"(","linkMbps":100,"repeatWindowS":10,"logLevel":"info")";
  mStore = aStore;
  WriteSettings();
  StartProcess();
}

void
GatewayProcess::ReplaceInSettings(const std::string& aFrom,
                                  const std::string& aTo)
{
  const auto at = mFixedSettings.find(aFrom);
  if (at == std::string::npos) {
    throw std::logic_error("the settings do not have " + aFrom);
  }
  mFixedSettings.replace(at, aFrom.size(), aTo);
}

void
GatewayProcess::SetStore(const std::string& aAddress)
{
  ReplaceInSettings(mStore, aAddress);
  mStore = aAddress;
  WriteSettings();
}

void
GatewayProcess::MovePorts()
{
  for (int& it : mPorts) {
    const int port = FindFreePort(mIp);
    ReplaceInSettings(mIp + ":" + std::to_string(it),
                      mIp + ":" + std::to_string(port));
    it = port;
  }
  WriteSettings();
}

void
GatewayProcess::TruncateSettings() const
{
  std::ofstream(mSettingsFile)
    << mFixedSettings.substr(0, mFixedSettings.size() / 2);
}

void
GatewayProcess::WriteSettings() const
{
  std::ofstream(mSettingsFile)
    << mFixedSettings << R"(,"maxConnections":)" << mSettings.mMaxConnections
    << R"(,"stopGraceS":)" << mSettings.mStopGraceS << R"(,"repeatRatio":)"
    << mSettings.mRetryRatio << R"(,"repeatAllowance":)"
    << mSettings.mRetryAllowance
    << (mSettings.mMemoryMb > 0
          ? R"(,"memoryMb":)" + std::to_string(mSettings.mMemoryMb)
          : std::string())
    << "}";
}

void
GatewayProcess::ChangeSettings(const GatewayTestSettings& aSettings)
{
  const std::string binary = mSettings.mBinary;
  const std::string links = mSettings.mLinks;
  mSettings = aSettings;
  if (mSettings.mBinary.empty()) {
    mSettings.mBinary = binary;
  }
  mSettings.mLinks = links;
  WriteSettings();
}

void
GatewayProcess::Restart(int aSignal)
{
  Signal(aSignal);
  AwaitExit();
  StartProcess();
}

void
GatewayProcess::StartProcess()
{
  const std::string binary = BinaryOf(mSettings);
  std::vector<std::string> variables = EnvironmentOf(mSettings);
  std::vector<char*> environment;
  for (std::string& it : variables) {
    environment.push_back(it.data());
  }
  environment.push_back(nullptr);
  if (mSettings.mUnreadLog && mUnreadPipe[0] < 0) {
    FillPipe(mUnreadPipe);
  }
  mProcess = ForkProcess();
  if (mProcess == 0) {
    OpenLog();
    // The gateway must not inherit the sockets of the fakes.
    for (int other = STDERR_FILENO + 1; other < 1024; ++other) {
      ::close(other);
    }
    // The gateway must not outlive an aborted test.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    ::execle(binary.c_str(),
             binary.c_str(),
             "--settings",
             mSettingsFile.c_str(),
             static_cast<char*>(nullptr),
             environment.data());
    std::_Exit(127);
  }
  mExceededMemory = false;
  if (mSettings.mMemoryMb > 0) {
    mWatching = true;
    mWatch = std::thread([this] { WatchMemory(); });
  }
}

// Sets the standard output and the signal mask of the process that is about to
// run the gateway.
void
GatewayProcess::OpenLog() const
{
  const char* logDirectory = std::getenv(kLogDirectoryVariable);
  std::string log = logDirectory == nullptr
                      ? "/dev/null"
                      : std::string(logDirectory) + "/" + mName + ".log";
  if (mSettings.mLogFileBytes > 0) {
    log = mSettingsFile + ".log";
    const auto limit = static_cast<rlim_t>(mSettings.mLogFileBytes);
    const rlimit bytes{ limit, limit };
    ::setrlimit(RLIMIT_FSIZE, &bytes);
  }
  const int out = mSettings.mUnreadLog
                    ? mUnreadPipe[1]
                    : ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  ::dup2(out, STDOUT_FILENO);
  if (mSettings.mClosesStandardDescriptors) {
    for (const int it : { STDIN_FILENO, STDOUT_FILENO, STDERR_FILENO }) {
      ::close(it);
    }
  }
  if (mSettings.mBlocksSignals) {
    sigset_t all;
    ::sigfillset(&all);
    ::sigprocmask(SIG_BLOCK, &all, nullptr);
  }
}

int
GatewayProcess::Stop()
{
  Signal(SIGTERM);
  std::mutex mutex;
  std::condition_variable changed;
  bool exited = false;
  std::thread watch([&] {
    std::unique_lock<std::mutex> lock(mutex);
    if (!changed.wait_for(lock,
                          std::chrono::seconds(mSettings.mStopGraceS),
                          [&exited] { return exited; })) {
      Signal(SIGKILL);
    }
  });
  const int code = AwaitExit();
  {
    const std::lock_guard<std::mutex> lock(mutex);
    exited = true;
  }
  changed.notify_one();
  watch.join();
  return code;
}

void
GatewayProcess::LimitDescriptors() const
{
  if (mSettings.mDescriptors > 0) {
    const auto limit = static_cast<rlim_t>(mSettings.mDescriptors);
    const rlimit descriptors{ limit, limit };
    ::prlimit(mProcess, RLIMIT_NOFILE, &descriptors, nullptr);
  }
}

// The loader only warns of a library that it cannot use.
void
GatewayProcess::CheckLinks() const
{
  std::ifstream maps("/proc/" + std::to_string(mProcess) + "/maps");
  const std::string loaded(std::istreambuf_iterator<char>(maps), {});
  if (!mSettings.mLinks.empty() &&
      loaded.find("libquetzal-test-links.so") == std::string::npos) {
    throw std::runtime_error(mName + " does not use its links");
  }
}

// Kills the process when its resident memory exceeds its limit, as whoever runs
// it may do without telling the system of the limit.
void
GatewayProcess::WatchMemory()
{
  const std::filesystem::path own = ProgramOf("self");
  while (mWatching) {
    // Before it runs the gateway the process has the memory of the test.
    if (ProgramOf(std::to_string(mProcess)) != own &&
        PeakMemoryMb() >= mSettings.mMemoryMb) {
      mExceededMemory = true;
      Signal(SIGKILL);
      return;
    }
    std::this_thread::sleep_for(kMemoryWatchInterval);
  }
}

GatewayProcess::~GatewayProcess()
{
  if (mProcess > 0) {
    Signal(SIGKILL);
    AwaitExit();
  }
  std::remove(mSettingsFile.c_str());
  std::remove((mSettingsFile + ".log").c_str());
  for (const int it : mUnreadPipe) {
    if (it >= 0) {
      ::close(it);
    }
  }
}

CallerAnswer
GatewayProcess::Call(const std::string& aBytes) const
{
  return CallPort(0, aBytes);
}

int
GatewayProcess::Readiness() const
{
  return CallPort(1, "GET /readiness HTTP/1.1\r\nHost: h\r\n\r\n")
    .mHead.mStatus;
}

std::string
GatewayProcess::Metrics() const
{
  return CallPort(2, "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n").mBody;
}

std::string
GatewayProcess::Metric(const std::string& aName) const
{
  const std::string text = Metrics();
  const std::string name = "\n" + aName + "{host=\"" + mName + "\"} ";
  const auto at = text.find(name);
  if (at == std::string::npos) {
    return std::string();
  }
  const auto from = at + name.size();
  return text.substr(from, text.find('\n', from) - from);
}

int
GatewayProcess::PeakMemoryMb() const
{
  constexpr char kPeak[] = "VmHWM:";
  std::ifstream status("/proc/" + std::to_string(mProcess) + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.rfind(kPeak, 0) == 0) {
      return std::atoi(line.c_str() + sizeof kPeak - 1) / 1024;
    }
  }
  return 0;
}

void
GatewayProcess::Signal(int aSignal) const
{
  ::kill(mProcess, aSignal);
}

int
GatewayProcess::AwaitExit()
{
  // The watch may kill the process until it has been waited for.
  siginfo_t ended{};
  ::waitid(P_PID, static_cast<id_t>(mProcess), &ended, WEXITED | WNOWAIT);
  mWatching = false;
  if (mWatch.joinable()) {
    mWatch.join();
  }
  int status = 0;
  ::waitpid(std::exchange(mProcess, -1), &status, 0);
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

// Opens a connection and sends the bytes. Returns the socket, or -1 on failure.
int
GatewayProcess::Connect(int aPort, const std::string& aBytes) const
{
  const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
  const timeval timeout{ mCallTimeout.count() / 1000,
                         mCallTimeout.count() % 1000 * 1000 };
  ::setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  const sockaddr_in to =
    SocketAddress(mIp, mPorts[static_cast<std::size_t>(aPort)]);
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0) {
    ::close(fd);
    return -1;
  }
  std::size_t sent = 0;
  while (sent < aBytes.size()) {
    const auto n =
      ::send(fd, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) {
      break;
    }
    sent += static_cast<std::size_t>(n);
  }
  return fd;
}

int
GatewayProcess::ConnectCaller(int aReceiveBytes) const
{
  const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
  if (aReceiveBytes > 0) {
    ::setsockopt(
      fd, SOL_SOCKET, SO_RCVBUF, &aReceiveBytes, sizeof aReceiveBytes);
  }
  const sockaddr_in to = SocketAddress(mIp, mPorts[0]);
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0) {
    ::close(fd);
    return -1;
  }
  return fd;
}

void
GatewayProcess::CallAndDisconnect(const std::string& aBytes) const
{
  const int fd = Connect(0, aBytes);
  char byte = 0;
  if (fd < 0 || ::recv(fd, &byte, 1, 0) != 1) {
    throw std::runtime_error("no answer received");
  }
  ::close(fd);
}

CallerAnswer
GatewayProcess::CallPort(int aPort, const std::string& aBytes) const
{
  CallerAnswer answer;
  const int fd = Connect(aPort, aBytes);
  if (fd < 0) {
    return answer;
  }
  HttpReader reader(HttpMessageType::Responses, { 65536, 1U << 24U });
  char buf[4096];
  while (reader.Progress() == HttpProgress::Head ||
         reader.Progress() == HttpProgress::Body) {
    const auto n = ::recv(fd, buf, sizeof buf, 0);
    if (n <= 0) {
      reader.FeedEof();
      break;
    }
    reader.Feed(std::string_view(buf, static_cast<std::size_t>(n)));
  }
  answer.mComplete = reader.Progress() == HttpProgress::Complete;
  answer.mHead = reader.Head();
  answer.mBody = reader.TakeBody();
  answer.mConnectionKept = answer.mHead.mKeepAlive;
  ::close(fd);
  return answer;
}
