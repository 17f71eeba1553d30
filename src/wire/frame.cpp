// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "wire/frame.h"

#include "base/errors.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <algorithm>
#include <array>
#include <cerrno>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <utility>

namespace waycove {

namespace {

constexpr std::size_t LengthBytes = 4;
/// Bytes that a read asks for; a usual frame and its length come with one. Room
/// for a larger one is made in steps, as its bytes arrive.
constexpr std::size_t ReadBytes = 4096;
constexpr std::size_t MaxReadBytes = 256 << 10;
constexpr std::size_t MaxKeptBytes = 64 << 10;
constexpr Millis SendTimeout(3000);

Poco::Timespan spanOf(Millis Duration) { return {Duration.count() * 1000}; }

/// Waits for \p Events until \p Until. Returns whether one came. Unlike Poco's,
/// it needs no descriptor of its own: a node that has none left would lose its
/// links to all others.
bool waitFor(int Descriptor, short Events, TimePoint Until) {
  pollfd Waiting{Descriptor, Events, 0};
  while (true) {
    Millis Left = std::max(std::chrono::ceil<Millis>(Until - BootClock::now()),
                           Millis(0));
    int Ready = ::poll(&Waiting, 1, static_cast<int>(Left.count()));
    if (Ready >= 0)
      return Ready > 0;
    if (errno != EINTR)
      throw Poco::IOException("the connection cannot be waited for", errno);
  }
}

/// Room for a usual frame.
constexpr std::size_t UsualBytes = 1024;

/// Drops the first \p Count bytes of both parts.
void dropSent(std::array<iovec, 2> &Parts, std::size_t Count) {
  for (iovec &Part : Parts) {
    std::size_t Sent = std::min(Count, Part.iov_len);
    Part.iov_base = static_cast<char *>(Part.iov_base) + Sent;
    Part.iov_len -= Sent;
    Count -= Sent;
  }
}

} // namespace

std::string packFrame(const wire::FrameT &Frame) {
  flatbuffers::FlatBufferBuilder Builder;
  Builder.Finish(wire::Frame::Pack(Builder, &Frame));
  return {reinterpret_cast<const char *>(Builder.GetBufferPointer()),
          Builder.GetSize()};
}

absl::StatusOr<wire::FrameT> unpackFrame(const std::string &Bytes) {
  const auto *Data = reinterpret_cast<const std::uint8_t *>(Bytes.data());
  wire::AlignedVerifier Verifier(Data, Bytes.size(), 64, 4'000'000);
  if (Bytes.size() < 8 || Bytes.size() > MaxFrameBytes ||
      !Verifier.VerifyBuffer<wire::Frame>(nullptr))
    return makeError(ErrorKind::BadRequest, "damaged frame");
  wire::FrameT Frame;
  flatbuffers::GetRoot<wire::Frame>(Data)->UnPackTo(&Frame);
  // The verifier allows the type of a message without the message.
  if (!Frame.message.value)
    return makeError(ErrorKind::BadRequest, "frame without a message");
  return Frame;
}

FrameSocket::FrameSocket(const Poco::Net::StreamSocket &Socket,
                         Metrics &Counters)
    : Socket(Socket), Counters(Counters) {
  this->Socket.setNoDelay(true);
}

absl::StatusOr<Poco::Net::StreamSocket>
FrameSocket::dial(const std::string &Host, std::uint16_t Port, Millis Timeout) {
  try {
    Poco::Net::StreamSocket Socket;
    Socket.connect(Poco::Net::SocketAddress(Host, Port), spanOf(Timeout));
    return Socket;
  } catch (const Poco::Exception &Error) {
    return makeError(ErrorKind::NoCapacity, Error.displayText());
  }
}

std::size_t FrameSocket::sendSome(std::array<iovec, 2> &Parts,
                                  TimePoint Until) {
  if (!waitFor(this->descriptor(), POLLOUT, Until))
    throw Poco::TimeoutException("the peer does not read");
  msghdr Message{};
  Message.msg_iov = Parts.data();
  Message.msg_iovlen = Parts.size();
  ssize_t Sent =
      ::sendmsg(this->descriptor(), &Message, MSG_DONTWAIT | MSG_NOSIGNAL);
  if (Sent < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR)
    throw Poco::IOException("the connection broke", errno);
  return static_cast<std::size_t>(std::max<ssize_t>(Sent, 0));
}

bool FrameSocket::send(const wire::FrameT &Frame,
                       std::optional<TimePoint> Until) {
  flatbuffers::FlatBufferBuilder Builder(UsualBytes);
  Builder.Finish(wire::Frame::Pack(Builder, &Frame));
  return this->sendBuilt(Builder, Until);
}

bool FrameSocket::sendData(std::uint64_t Clock, std::string_view Bytes,
                           std::optional<TimePoint> Until) {
  // Room for all at once: a buffer that grows copies what it has.
  flatbuffers::FlatBufferBuilder Builder(UsualBytes + Bytes.size());
  auto Data = wire::CreateForwardData(
      Builder,
      Builder.CreateVector(reinterpret_cast<const std::uint8_t *>(Bytes.data()),
                           Bytes.size()));
  Builder.Finish(wire::CreateFrame(
      Builder, Clock, wire::MessageTraits<wire::ForwardData>::enum_value,
      Data.Union()));
  return this->sendBuilt(Builder, Until);
}

bool FrameSocket::sendBuilt(flatbuffers::FlatBufferBuilder &Built,
                            std::optional<TimePoint> Until) {
  std::array<unsigned char, LengthBytes> Length{};
  for (std::size_t I = 0; I < LengthBytes; ++I)
    Length.at(I) = static_cast<unsigned char>(Built.GetSize() >> (8 * I));
  std::array<iovec, 2> Rest{
      {{Length.data(), Length.size()},
       {Built.GetBufferPointer(), static_cast<std::size_t>(Built.GetSize())}}};
  const std::size_t Size = LengthBytes + Built.GetSize();
  std::lock_guard Lock(this->SendMutex);
  try {
    for (std::size_t Sent = 0; Sent < Size;) {
      std::size_t Count =
          this->sendSome(Rest, Until.value_or(BootClock::now() + SendTimeout));
      dropSent(Rest, Count);
      Sent += Count;
    }
    this->Counters.add(Counter::PeerBytesOut, Size);
    return true;
  } catch (const Poco::Exception &) {
    // The frame may be sent partially, so the stream cannot be used further.
    this->shutdown();
    return false;
  }
}

bool FrameSocket::fill(std::size_t Count) {
  while (this->Buffer.size() < Count) {
    if (this->ReceiveUntil &&
        !waitFor(this->descriptor(), POLLIN, *this->ReceiveUntil))
      throw Poco::TimeoutException("the frame is not complete in time");
    std::size_t Had = this->Buffer.size();
    this->Buffer.resize(Had + std::clamp(Count - Had, ReadBytes, MaxReadBytes));
    int Read = this->Socket.receiveBytes(
        this->Buffer.data() + Had, static_cast<int>(this->Buffer.size() - Had));
    this->Buffer.resize(Had + static_cast<std::size_t>(std::max(Read, 0)));
    if (Read <= 0)
      return false;
    this->Counters.add(Counter::PeerBytesIn, static_cast<std::size_t>(Read));
  }
  return true;
}

absl::StatusOr<wire::FrameT> FrameSocket::receive(Millis Timeout,
                                                  Millis FrameTime) {
  try {
    if (std::exchange(this->ReceiveTimeout, Timeout) != Timeout)
      this->Socket.setReceiveTimeout(spanOf(Timeout));
    if (this->Buffer.empty() && !this->fill(1))
      return makeError(ErrorKind::OutcomeUnknown, "the peer closed");
  } catch (const Poco::Exception &Error) {
    return makeError(ErrorKind::OutcomeUnknown, Error.displayText());
  }
  return this->receiveBy(BootClock::now() + FrameTime);
}

absl::StatusOr<wire::FrameT> FrameSocket::receiveBy(TimePoint Until) {
  // Each read follows on a poll, so that it does not wait.
  this->ReceiveUntil = Until;
  absl::StatusOr<wire::FrameT> Frame = this->receiveFrame();
  this->ReceiveUntil.reset();
  return Frame;
}

absl::StatusOr<wire::FrameT> FrameSocket::receiveFrame() {
  try {
    if (!this->fill(LengthBytes))
      return makeError(ErrorKind::OutcomeUnknown, "the peer closed");
    std::uint32_t Size = 0;
    for (std::size_t I = 0; I < LengthBytes; ++I)
      Size |= static_cast<std::uint32_t>(
                  static_cast<unsigned char>(this->Buffer[I]))
              << (8 * I);
    if (Size > MaxFrameBytes)
      return makeError(ErrorKind::BadRequest, "frame too large");
    if (!this->fill(LengthBytes + Size))
      return makeError(ErrorKind::OutcomeUnknown, "the peer closed");
    std::string Bytes = this->Buffer.substr(LengthBytes, Size);
    this->Buffer.erase(0, LengthBytes + Size);
    // Large frames are rare, and each connection has a buffer.
    if (this->Buffer.empty() && this->Buffer.capacity() > MaxKeptBytes)
      this->Buffer = std::string();
    return unpackFrame(Bytes);
  } catch (const Poco::Exception &Error) {
    return makeError(ErrorKind::OutcomeUnknown, Error.displayText());
  }
}

void FrameSocket::setAckTimeout(Millis Timeout) {
  this->Socket.setOption(IPPROTO_TCP, TCP_USER_TIMEOUT,
                         static_cast<int>(Timeout.count()));
}

void FrameSocket::abort() {
  try {
    this->Socket.setLinger(true, 0);
  } catch (const Poco::Exception &) {
    // Already reset by the peer.
  }
  this->Socket.close();
}

void FrameSocket::shutdown() {
  try {
    this->Socket.shutdown();
  } catch (const Poco::Exception &) {
    // The connection is closed already.
  }
}

} // namespace waycove
