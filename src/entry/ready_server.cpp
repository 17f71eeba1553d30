// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "entry/ready_server.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

namespace waycove {

class ReadyServer::Handler : public Poco::Net::HTTPRequestHandler {
public:
  explicit Handler(ReadyServer &Owner) : Owner(Owner) {}
  void handleRequest(Poco::Net::HTTPServerRequest &Request,
                     Poco::Net::HTTPServerResponse &Response) override {
    if (Request.getURI() == this->Owner.Path) {
      if (!this->Owner.IsReady())
        Response.setStatusAndReason(
            Poco::Net::HTTPResponse::HTTP_SERVICE_UNAVAILABLE);
      Response.setContentLength(0);
      Response.send();
    } else if (Request.getURI() == "/metrics") {
      std::string Text = this->Owner.Counters.text();
      Response.setContentType("text/plain; version=0.0.4");
      Response.sendBuffer(Text.data(), Text.size());
    } else {
      Response.setStatusAndReason(Poco::Net::HTTPResponse::HTTP_NOT_FOUND);
      Response.setContentLength(0);
      Response.send();
    }
  }

private:
  ReadyServer &Owner;
};

class ReadyServer::HandlerFactory
    : public Poco::Net::HTTPRequestHandlerFactory {
public:
  explicit HandlerFactory(ReadyServer &Owner) : Owner(Owner) {}
  Poco::Net::HTTPRequestHandler *
  createRequestHandler(const Poco::Net::HTTPServerRequest &) override {
    return new Handler(this->Owner);
  }

private:
  ReadyServer &Owner;
};

void ReadyServer::start(const Endpoint &Address) {
  Poco::Net::ServerSocket Socket;
  Socket.bind(Poco::Net::SocketAddress(Address.Host, Address.Port), true,
              false);
  Socket.listen(Backlog);
  auto Params = Poco::AutoPtr<Poco::Net::HTTPServerParams>(
      new Poco::Net::HTTPServerParams);
  Params->setMaxThreads(MaxThreads);
  this->Server = std::make_unique<Poco::Net::HTTPServer>(
      new HandlerFactory(*this), this->Threads, Socket, Params);
  this->Server->start();
}

} // namespace waycove
