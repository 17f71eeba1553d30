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

namespace waycove {

namespace {

constexpr std::size_t ReadBytes = 16384;

int millisLeft(TimePoint Until) {
  auto Left = std::chrono::ceil<Millis>(Until - BootClock::now());
  return static_cast<int>(std::clamp<std::int64_t>(Left.count(), 0, 3600000));
}

/// Polls until an event or the end of the time; the number of ready ones.
int pollUntil(pollfd *Rows, nfds_t Count, TimePoint Until) {
  while (true) {
    int Ready = ::poll(Rows, Count, millisLeft(Until));
    if (Ready >= 0 || errno != EINTR)
      return Ready;
  }
}

} // namespace

Channel::Channel(const Poco::Net::StreamSocket &Socket) : Socket(Socket) {
  this->Socket.setNoDelay(true);
}

IoStatus Channel::connect(const VmAddress &To, TimePoint Until,
                          std::optional<Channel> &Into) {
  try {
    Poco::Net::StreamSocket Socket;
    Socket.connect(Poco::Net::SocketAddress(To.Host, To.Port),
                   Poco::Timespan(std::max(millisLeft(Until), 1) * 1000LL));
    Into.emplace(Socket);
    return IoStatus::Ok;
  } catch (const Poco::TimeoutException &) {
    return IoStatus::Timeout;
  } catch (const Poco::Exception &) {
    // The caller logs the end of the attempt with the target's name.
    return IoStatus::Broken;
  }
}

void Channel::setAckTimeout(Millis Time) {
  this->Socket.setOption(IPPROTO_TCP, TCP_USER_TIMEOUT,
                         static_cast<int>(Time.count()));
}

IoStatus Channel::fillNow() {
  std::array<char, ReadBytes> Part{};
  ssize_t Got = 0;
  do
    Got = ::recv(this->descriptor(), Part.data(), Part.size(), MSG_DONTWAIT);
  while (Got < 0 && errno == EINTR);
  if (Got > 0) {
    this->Buffer.append(Part.data(), static_cast<std::size_t>(Got));
    return IoStatus::Ok;
  }
  if (Got == 0)
    return IoStatus::Closed;
  return errno == EAGAIN || errno == EWOULDBLOCK ? IoStatus::Timeout
                                                 : IoStatus::Broken;
}

IoStatus Channel::waitReadable(TimePoint Until) const {
  pollfd Row{this->descriptor(), POLLIN, 0};
  int Ready = pollUntil(&Row, 1, Until);
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
    if (IoStatus End = this->waitReadable(Until); End != IoStatus::Ok)
      return End;
    if (IoStatus End = this->fillNow(); End != IoStatus::Timeout)
      return End;
  }
}

IoStatus Channel::send(std::string_view Bytes, TimePoint Until) {
  while (!Bytes.empty()) {
    ssize_t Put = ::send(this->descriptor(), Bytes.data(), Bytes.size(),
                         MSG_DONTWAIT | MSG_NOSIGNAL);
    if (Put >= 0) {
      Bytes.remove_prefix(static_cast<std::size_t>(Put));
      continue;
    }
    if (errno == EINTR)
      continue;
    if (errno != EAGAIN && errno != EWOULDBLOCK)
      return IoStatus::Broken;
    pollfd Row{this->descriptor(), POLLOUT, 0};
    if (pollUntil(&Row, 1, Until) == 0)
      return IoStatus::Timeout;
  }
  return IoStatus::Ok;
}

bool Channel::isClosedByPeer() {
  char Byte = 0;
  ssize_t Got = ::recv(this->descriptor(), &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return Got == 0 ||
         (Got < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

void Channel::abort() {
  try {
    this->Socket.setLinger(true, 0);
  } catch (const Poco::Exception &) {
    // Reset by the other end already.
  }
  this->Socket.close();
}

Side waitEither(const Channel &Target, const Channel *Caller, TimePoint Until) {
  std::array<pollfd, 2> Rows{{{Target.descriptor(), POLLIN, 0}, {-1, 0, 0}}};
  if (Caller)
    Rows[1] = {Caller->descriptor(), POLLIN, 0};
  if (pollUntil(Rows.data(), Caller ? 2 : 1, Until) <= 0)
    return Side::Neither;
  return Rows[0].revents ? Side::Target : Side::Caller;
}

} // namespace waycove
