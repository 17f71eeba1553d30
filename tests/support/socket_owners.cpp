// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "support/socket_owners.h"

#include <arpa/inet.h>
#include <filesystem>
#include <linux/inet_diag.h>
#include <linux/netlink.h>
#include <linux/sock_diag.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace waycove::test {

namespace {

/// Asks the kernel for single sockets by their ports. /proc/net/tcp has to be
/// read whole, closed connections of the whole machine included: with 46,000 of
/// these a lookup took 110 to 330 ms, so that proxies which look up each
/// connection made targets look silent.
class SocketQuery {
public:
  SocketQuery()
      : Kernel(::socket(AF_NETLINK, SOCK_DGRAM | SOCK_CLOEXEC,
                        NETLINK_SOCK_DIAG)) {
    if (this->Kernel < 0)
      throw std::runtime_error("the kernel offers no queries for sockets");
  }
  ~SocketQuery() { ::close(this->Kernel); }
  SocketQuery(const SocketQuery &) = delete;
  SocketQuery &operator=(const SocketQuery &) = delete;

  /// Inode of the TCP socket with these ports of the loopback interface; 0 if
  /// there is none, or if it is closed and lingers.
  std::uint32_t inodeOf(std::uint16_t Local, std::uint16_t Remote) const {
    struct {
      nlmsghdr Head;
      inet_diag_req_v2 Body;
    } Request{};
    Request.Head.nlmsg_len = sizeof(Request);
    Request.Head.nlmsg_type = SOCK_DIAG_BY_FAMILY;
    Request.Head.nlmsg_flags = NLM_F_REQUEST;
    Request.Body.sdiag_family = AF_INET;
    Request.Body.sdiag_protocol = IPPROTO_TCP;
    inet_diag_sockid &Wanted = Request.Body.id;
    Wanted.idiag_sport = htons(Local);
    Wanted.idiag_dport = htons(Remote);
    Wanted.idiag_src[0] = htonl(INADDR_LOOPBACK);
    Wanted.idiag_dst[0] = htonl(INADDR_LOOPBACK);
    Wanted.idiag_cookie[0] = INET_DIAG_NOCOOKIE;
    Wanted.idiag_cookie[1] = INET_DIAG_NOCOOKIE;
    if (::send(this->Kernel, &Request, sizeof(Request), 0) < 0)
      return 0;
    struct {
      nlmsghdr Head;
      inet_diag_msg Body;
      char Attributes[4096];
    } Response{};
    ssize_t Size = ::recv(this->Kernel, &Response, sizeof(Response), 0);
    // Without such a socket the kernel reports an error, or a listening socket
    // with the same local port.
    bool IsFound =
        Size >= static_cast<ssize_t>(NLMSG_LENGTH(sizeof(inet_diag_msg))) &&
        Response.Head.nlmsg_type == SOCK_DIAG_BY_FAMILY &&
        Response.Body.id.idiag_dport == Wanted.idiag_dport;
    return IsFound ? Response.Body.idiag_inode : 0;
  }

private:
  const int Kernel;
};

} // namespace

void SocketOwners::set(const std::string &Name, pid_t Process) {
  std::lock_guard Lock(this->Mutex);
  this->Processes[Name] = Process;
}

std::string SocketOwners::nameOf(std::uint16_t Local,
                                 std::uint16_t Remote) const {
  SocketQuery Sockets;
  // A read of a process's descriptors may miss rows while others come and go.
  constexpr int MaxReads = 10;
  for (int I = 0; I < MaxReads; ++I)
    if (std::uint32_t Inode = Sockets.inodeOf(Local, Remote); Inode != 0)
      if (std::string Name =
              this->ownerOf("socket:[" + std::to_string(Inode) + "]");
          !Name.empty())
        return Name;
  return "";
}

std::string SocketOwners::ownerOf(const std::string &Socket) const {
  std::lock_guard Lock(this->Mutex);
  for (const auto &[Name, Process] : this->Processes) {
    std::error_code Gone;
    std::filesystem::directory_iterator Row(
        "/proc/" + std::to_string(Process) + "/fd", Gone);
    for (; !Gone && Row != std::filesystem::directory_iterator();
         Row.increment(Gone))
      if (std::filesystem::read_symlink(Row->path(), Gone) == Socket)
        return Name;
      else
        Gone.clear();
  }
  return "";
}

} // namespace waycove::test
