// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "base/connection_server.h"

#include <Poco/Runnable.h>
#include <memory>

namespace waycove {

/// Serves one connection on its thread and deletes itself when done.
class ConnectionServer::Connection : public Poco::Runnable {
public:
  Connection(ConnectionServer &Owner, const Poco::Net::StreamSocket &Socket)
      : Owner(Owner), Socket(Socket) {}
  void run() override {
    std::unique_ptr<Connection> Self(this);
    try {
      this->Owner.Serve(this->Socket);
    } catch (const std::exception &Error) {
      this->Owner.OnError(Error.what());
    }
  }

private:
  ConnectionServer &Owner;
  Poco::Net::StreamSocket Socket;
};

ConnectionServer::ConnectionServer(const std::string &Name, int MaxConnections,
                                   Handler Serve, ErrorHandler OnError)
    : Serve(std::move(Serve)), OnError(std::move(OnError)),
      Threads(Name, 1, MaxConnections, IdleThreadSeconds, StackBytes) {}

void ConnectionServer::start(const Endpoint &Address) {
  this->Listener.bind(Poco::Net::SocketAddress(Address.Host, Address.Port),
                      true, false);
  this->Listener.listen(Backlog);
  std::thread([this] { this->acceptAll(); }).detach();
}

void ConnectionServer::acceptAll() {
  while (true) {
    try {
      this->acceptOne(this->Listener.acceptConnection());
    } catch (const Poco::Exception &Error) {
      this->OnError(Error.displayText());
      std::this_thread::sleep_for(AcceptRetryDelay);
    }
  }
}

void ConnectionServer::acceptOne(const Poco::Net::StreamSocket &Socket) {
  auto Accepted = std::make_unique<Connection>(*this, Socket);
  try {
    this->Threads.start(*Accepted);
    // The connection deletes itself at the end of run().
    static_cast<void>(Accepted.release());
  } catch (const Poco::NoThreadAvailableException &) {
    this->OnError("all threads are in use");
  }
}

} // namespace waycove
