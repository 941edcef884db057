#include "FreePort.h"

#include <arpa/inet.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace amaranthgap {

std::string
FreeAddress()
{
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(address);
  auto* generic = reinterpret_cast<sockaddr*>(&address);
  (void)::bind(fd, generic, size);
  ::getsockname(fd, generic, &size);
  ::close(fd);
  return fmt::format("127.0.0.1:{}", ntohs(address.sin_port));
}

} // namespace amaranthgap
