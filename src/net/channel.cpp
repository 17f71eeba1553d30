// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "net/channel.h"

#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>
#include <algorithm>
#include <array>
#include <cerrno>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <utility>

namespace waycove {

namespace {

constexpr std::size_t ReadBytes = 16384;

int remainingMillis(TimePoint Until) {
  auto Remaining = std::chrono::ceil<Millis>(Until - BootClock::now());
  return static_cast<int>(
      std::clamp<std::int64_t>(Remaining.count(), 0, 3600000));
}

/// Polls until an event or \p Until. Returns the result of poll().
int pollUntil(pollfd *Descriptors, nfds_t Count, TimePoint Until) {
  while (true) {
    int Ready = ::poll(Descriptors, Count, remainingMillis(Until));
    if (Ready >= 0 || errno != EINTR)
      return Ready;
  }
}

/// Whether an error of socket() or connect() is due to this process or machine.
bool isExhaustion(int Error) {
  constexpr std::array<int, 5> Shortages{EMFILE, ENFILE, ENOBUFS, ENOMEM,
                                         EADDRNOTAVAIL};
  return std::find(Shortages.begin(), Shortages.end(), Error) !=
         Shortages.end();
}

} // namespace

Channel::Channel(const Poco::Net::StreamSocket &Socket) : Socket(Socket) {
  this->Socket.setNoDelay(true);
}

IoStatus Channel::connect(const VmAddress &To, TimePoint Until,
                          std::optional<Channel> &Out) {
  try {
    Poco::Net::StreamSocket Socket;
    Socket.connect(
        Poco::Net::SocketAddress(To.Host, To.Port),
        Poco::Timespan(std::max(remainingMillis(Until), 1) * 1000LL));
    Out.emplace(Socket);
    return IoStatus::Ok;
  } catch (const Poco::TimeoutException &) {
    return IoStatus::Timeout;
  } catch (const Poco::Exception &Error) {
    // The caller of this function logs the failure with the target's name.
    return isExhaustion(Error.code()) ? IoStatus::Exhausted : IoStatus::Broken;
  }
}

void Channel::setAckTimeout(Millis Timeout) {
  this->Socket.setOption(IPPROTO_TCP, TCP_USER_TIMEOUT,
                         static_cast<int>(Timeout.count()));
}

IoStatus Channel::fillNow() {
  std::array<char, ReadBytes> Chunk{};
  ssize_t Received = 0;
  do
    Received =
        ::recv(this->descriptor(), Chunk.data(), Chunk.size(), MSG_DONTWAIT);
  while (Received < 0 && errno == EINTR);
  if (Received > 0) {
    this->Buffer.append(Chunk.data(), static_cast<std::size_t>(Received));
    return IoStatus::Ok;
  }
  if (Received == 0)
    return IoStatus::Closed;
  return errno == EAGAIN || errno == EWOULDBLOCK ? IoStatus::Timeout
                                                 : IoStatus::Broken;
}

IoStatus Channel::waitReadable(TimePoint Until) const {
  pollfd Descriptor{this->descriptor(), POLLIN, 0};
  int Ready = pollUntil(&Descriptor, 1, Until);
  if (Ready < 0)
    return IoStatus::Broken;
  return Ready == 0 ? IoStatus::Timeout : IoStatus::Ok;
}

bool Channel::isReadable() const {
  return this->waitReadable(TimePoint()) != IoStatus::Timeout;
}

void Channel::shutdown() { ::shutdown(this->descriptor(), SHUT_RDWR); }

IoStatus Channel::fill(TimePoint Until) {
  while (true) {
    if (IoStatus Status = this->waitReadable(Until); Status != IoStatus::Ok)
      return Status;
    if (IoStatus Status = this->fillNow(); Status != IoStatus::Timeout)
      return Status;
  }
}

IoStatus Channel::send(std::string_view Bytes, TimePoint Until,
                       const std::function<void()> &OnFull) {
  bool Waited = false;
  while (!Bytes.empty()) {
    ssize_t Sent = ::send(this->descriptor(), Bytes.data(), Bytes.size(),
                          MSG_DONTWAIT | MSG_NOSIGNAL);
    if (Sent >= 0) {
      Bytes.remove_prefix(static_cast<std::size_t>(Sent));
      continue;
    }
    if (errno == EINTR)
      continue;
    if (errno != EAGAIN && errno != EWOULDBLOCK)
      return IoStatus::Broken;
    if (!std::exchange(Waited, true) && OnFull)
      OnFull();
    pollfd Descriptor{this->descriptor(), POLLOUT, 0};
    if (pollUntil(&Descriptor, 1, Until) == 0)
      return IoStatus::Timeout;
  }
  return IoStatus::Ok;
}

bool Channel::isClosedByPeer() {
  if (this->descriptor() < 0)
    return true;
  // Also if bytes that were sent before are still unread.
  pollfd Descriptor{this->descriptor(), POLLRDHUP, 0};
  return pollUntil(&Descriptor, 1, TimePoint()) > 0;
}

void Channel::abort() {
  try {
    this->Socket.setLinger(true, 0);
  } catch (const Poco::Exception &) {
    // Already reset by the peer.
  }
  this->Socket.close();
}

Millis Channel::sinceReceived() const {
  tcp_info Info{};
  socklen_t Size = sizeof(Info);
  if (::getsockopt(this->descriptor(), IPPROTO_TCP, TCP_INFO, &Info, &Size) !=
      0)
    return Millis(0);
  return Millis(Info.tcpi_last_data_recv);
}

std::optional<std::size_t> waitForAny(const std::vector<int> &Sockets,
                                      int Watched, TimePoint Until) {
  std::vector<pollfd> Descriptors;
  Descriptors.reserve(Sockets.size() + 1);
  for (int Socket : Sockets)
    Descriptors.push_back({Socket, POLLIN, 0});
  Descriptors.push_back({Watched, POLLRDHUP, 0});
  if (pollUntil(Descriptors.data(), Descriptors.size(), Until) <= 0)
    return std::nullopt;
  for (std::size_t I = 0; I < Descriptors.size(); ++I)
    if (Descriptors[I].revents)
      return I;
  return std::nullopt;
}

Side waitEither(int Target, int Caller, TimePoint Until) {
  // poll() ignores negative descriptors.
  std::array<pollfd, 2> Descriptors{{{Target, POLLIN, 0}, {Caller, POLLIN, 0}}};
  if (pollUntil(Descriptors.data(), Descriptors.size(), Until) <= 0)
    return Side::Neither;
  return Descriptors[0].revents ? Side::Target : Side::Caller;
}

} // namespace waycove
