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

LoopbackProxy::LoopbackProxy(std::uint16_t To, ClientNames NameOf)
    : To(To), NameOf(std::move(NameOf)),
      Listener(Poco::Net::SocketAddress("127.0.0.1", 0)) {
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
      Origin Of{this->NameOf
                    ? this->NameOf(Client.peerAddress().port(), this->port())
                    : "",
                this->Silenced};
      // The client has left already.
      bool IsUnknown = this->NameOf && Of.Client.empty();
      LinkFault Now = this->faultOf(Of.Client);
      if (IsUnknown || Now == LinkFault::RefuseNew ||
          Now == LinkFault::SilentRefuseNew) {
        Client.setLinger(true, 0);
        continue;
      }
      Poco::Net::StreamSocket Server;
      Server.connect(Poco::Net::SocketAddress("127.0.0.1", this->To));
      std::lock_guard Lock(this->Mutex);
      this->Pumps.emplace_back(
          [=, this] { this->pump(Client, Server, false, Of); });
      this->Pumps.emplace_back(
          [=, this] { this->pump(Server, Client, true, Of); });
    } catch (const Poco::Exception &) {
      // The server is down: the client's connection closes.
      continue;
    }
  }
}

void LoopbackProxy::setFor(const std::string &Client, LinkFault Next) {
  std::lock_guard Lock(this->Mutex);
  this->ClientFaults[Client] = Next;
}

LinkFault LoopbackProxy::faultOf(const std::string &Client) const {
  std::lock_guard Lock(this->Mutex);
  auto At = this->ClientFaults.find(Client);
  return At == this->ClientFaults.end() || At->second == LinkFault::None
             ? this->Fault.load()
             : At->second;
}

bool LoopbackProxy::isWithheld(bool Responses, const Origin &Of) const {
  LinkFault Now = this->faultOf(Of.Client);
  return Now == LinkFault::Silent || Now == LinkFault::SilentRefuseNew ||
         Of.SilencedBefore < this->Silenced ||
         (Now == LinkFault::OneWay && Responses);
}

void LoopbackProxy::pump(Poco::Net::StreamSocket From,
                         Poco::Net::StreamSocket Into, bool Responses,
                         const Origin &Of) {
  std::array<char, 8192> Buffer{};
  try {
    while (!this->Ended) {
      LinkFault Now = this->faultOf(Of.Client);
      if (Now == LinkFault::Reset) {
        From.setLinger(true, 0);
        Into.setLinger(true, 0);
        break;
      }
      if (!From.poll(Poco::Timespan(PollInterval),
                     Poco::Net::Socket::SELECT_READ))
        continue;
      if (this->isWithheld(Responses, Of)) {
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
