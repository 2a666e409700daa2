// Loaded into gateway processes of tests before the C library. A gateway of a
// test with links reaches each runner by a link of its own, and all gateways
// know a runner by the same address, as on the platform: connections to that
// address are made to the link here, where the network of a platform would
// choose the way.

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <cstdint>
#include <cstdlib>
#include <dlfcn.h>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <vector>

namespace {

// "IP:PORT,PORT,...": the address of the links, and the ports of the runners,
// which the links have as well.
constexpr char kLinksVariable[] = "QUETZAL_TEST_LINKS";

struct Links
{
  in_addr mAddress{};
  std::vector<in_port_t> mPorts;
};

Links
ReadLinks()
{
  Links links;
  const char* variable = std::getenv(kLinksVariable);
  const std::string text = variable == nullptr ? "" : variable;
  auto at = text.find(':');
  if (at == std::string::npos ||
      ::inet_pton(AF_INET, text.substr(0, at).c_str(), &links.mAddress) != 1) {
    return links;
  }
  while (at != std::string::npos) {
    links.mPorts.push_back(
      htons(static_cast<std::uint16_t>(std::atoi(text.c_str() + at + 1))));
    at = text.find(',', at + 1);
  }
  return links;
}

bool
IsRunner(const Links& aLinks, const sockaddr_in& aAddress)
{
  return aAddress.sin_addr.s_addr == htonl(INADDR_LOOPBACK) &&
         std::find(aLinks.mPorts.begin(),
                   aLinks.mPorts.end(),
                   aAddress.sin_port) != aLinks.mPorts.end();
}

} // namespace

extern "C" int
connect(int aSocket, const sockaddr* aAddress, socklen_t aSize)
{
  using Connect = int (*)(int, const sockaddr*, socklen_t);
  static const auto kConnect =
    reinterpret_cast<Connect>(::dlsym(RTLD_NEXT, "connect"));
  static const Links kLinks = ReadLinks();
  if (kConnect == nullptr) {
    errno = ENOSYS;
    return -1;
  }
  if (aAddress != nullptr && aAddress->sa_family == AF_INET &&
      aSize >= sizeof(sockaddr_in)) {
    sockaddr_in address = *reinterpret_cast<const sockaddr_in*>(aAddress);
    if (IsRunner(kLinks, address)) {
      address.sin_addr = kLinks.mAddress;
      return kConnect(
        aSocket, reinterpret_cast<const sockaddr*>(&address), sizeof address);
    }
  }
  return kConnect(aSocket, aAddress, aSize);
}
