/* Preloaded into a host's process: its connections come from its own address,
   as on a machine of its own, and those to runners are refused by the kernel
   while a file exists. */

#define _GNU_SOURCE
#include <arpa/inet.h>
#include <dlfcn.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#define CLOSED_PORT 9

static void
bind_to_own_address(int fd)
{
  struct sockaddr_in own = { 0 };
  socklen_t size = sizeof own;
  const char* address = getenv("SOAK_OWN_ADDRESS");
  int type = 0;
  socklen_t type_size = sizeof type;
  const int on = 1;
  if (!address || getsockopt(fd, SOL_SOCKET, SO_TYPE, &type, &type_size) ||
      type != SOCK_STREAM || getsockname(fd, (struct sockaddr*)&own, &size) ||
      own.sin_family != AF_INET || own.sin_addr.s_addr != INADDR_ANY) {
    return;
  }
  own.sin_addr.s_addr = inet_addr(address);
  own.sin_port = 0;
  setsockopt(fd, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &on, sizeof on);
  bind(fd, (struct sockaddr*)&own, sizeof own);
}

int
connect(int fd, const struct sockaddr* to, socklen_t size)
{
  int (*next)(int, const struct sockaddr*, socklen_t) =
    (int (*)(int, const struct sockaddr*, socklen_t))dlsym(RTLD_NEXT,
                                                           "connect");
  struct sockaddr_in other;
  const char* refuses = getenv("SOAK_REFUSES");
  const char* port = getenv("SOAK_RUNNER_PORT");
  if (to->sa_family != AF_INET) {
    return next(fd, to, size);
  }
  bind_to_own_address(fd);
  other = *(const struct sockaddr_in*)to;
  if (port && refuses && ntohs(other.sin_port) == atoi(port) &&
      access(refuses, F_OK) == 0) {
    other.sin_port = htons(CLOSED_PORT);
  }
  return next(fd, (const struct sockaddr*)&other, sizeof other);
}
