// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "support/proxy.h"

#include <Poco/Exception.h>
#include <array>

namespace waycove::test {

namespace {

/// Interval between checks for a changed fault, in microseconds.
constexpr int PollInterval = 20'000;
constexpr std::chrono::milliseconds Delay(120);

} // namespace

LoopbackProxy::LoopbackProxy(std::uint16_t To)
    : To(To), Listener(Poco::Net::SocketAddress("127.0.0.1", 0)) {
  this->Acceptor = std::thread([this] { this->acceptAll(); });
}

LoopbackProxy::~LoopbackProxy() {
  this->Ended = true;
  this->Acceptor.join();
  for (std::thread &Row : this->Pumps)
    Row.join();
}

void LoopbackProxy::acceptAll() {
  while (!this->Ended) {
    if (!this->Listener.poll(Poco::Timespan(PollInterval),
                             Poco::Net::Socket::SELECT_READ))
      continue;
    try {
      Poco::Net::StreamSocket Client = this->Listener.acceptConnection();
      Poco::Net::StreamSocket Server;
      Server.connect(Poco::Net::SocketAddress("127.0.0.1", this->To));
      unsigned SilencedBefore = this->Silenced;
      std::lock_guard Lock(this->Mutex);
      this->Pumps.emplace_back(
          [=, this] { this->pump(Client, Server, false, SilencedBefore); });
      this->Pumps.emplace_back(
          [=, this] { this->pump(Server, Client, true, SilencedBefore); });
    } catch (const Poco::Exception &) {
      // The server is down: the client's connection closes.
      continue;
    }
  }
}

bool LoopbackProxy::isWithheld(bool Responses, unsigned SilencedBefore) const {
  LinkFault Now = this->Fault;
  return Now == LinkFault::Silent || SilencedBefore < this->Silenced ||
         (Now == LinkFault::OneWay && Responses);
}

void LoopbackProxy::pump(Poco::Net::StreamSocket From,
                         Poco::Net::StreamSocket Into, bool Responses,
                         unsigned SilencedBefore) {
  std::array<char, 8192> Buffer{};
  try {
    while (!this->Ended) {
      LinkFault Now = this->Fault;
      if (Now == LinkFault::Reset) {
        From.setLinger(true, 0);
        Into.setLinger(true, 0);
        break;
      }
      if (!From.poll(Poco::Timespan(PollInterval),
                     Poco::Net::Socket::SELECT_READ))
        continue;
      if (this->isWithheld(Responses, SilencedBefore)) {
        std::this_thread::sleep_for(std::chrono::microseconds(PollInterval));
        continue;
      }
      int Size = From.receiveBytes(Buffer.data(), Buffer.size());
      if (Size <= 0)
        break;
      if (Now == LinkFault::Delayed)
        std::this_thread::sleep_for(Delay);
      Into.sendBytes(Buffer.data(), Size);
    }
    Into.shutdownSend();
    From.shutdownReceive();
  } catch (const Poco::Exception &) {
    // One side disconnected: closing the sockets disconnects the other.
  }
}

} // namespace waycove::test
