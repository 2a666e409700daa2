#include "GatewayProcess.h"

#include <arpa/inet.h>
#include <atomic>
#include <cppunit/extensions/HelperMacros.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace {

// Whether a server that may reuse an address can listen on a port.
bool
CanListen(int aPort)
{
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_port = htons(static_cast<std::uint16_t>(aPort));
  at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  const bool can =
    ::bind(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0 &&
    ::listen(fd, 1) == 0;
  ::close(fd);
  return can;
}

} // namespace

class FreePortTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(FreePortTests);
  CPPUNIT_TEST(AFoundPortIsFreeBesideStartsOfProcesses);
  CPPUNIT_TEST_SUITE_END();

public:
  // Tests failed with "Address already in use", as a process that was started
  // while the port was tried had inherited the socket.
  void AFoundPortIsFreeBesideStartsOfProcesses()
  {
    std::atomic<bool> done{ false };
    std::thread starter([&done] {
      while (!done) {
        const pid_t process = ForkProcess();
        if (process == 0) {
          ::usleep(5000);
          ::_exit(0);
        }
        ::waitpid(process, nullptr, 0);
      }
    });
    int taken = 0;
    for (int n = 0; n < 3000; ++n) {
      taken += CanListen(FindFreePort()) ? 0 : 1;
    }
    done = true;
    starter.join();
    CPPUNIT_ASSERT_EQUAL(0, taken);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FreePortTests);
