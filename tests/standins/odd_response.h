// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

// Responses that are whole but for one odd part, which no reader may accept, as
// a target in trouble sends them. Faults are named "odd KIND:PART", or "odd
// closing KIND:PART" if the target ends the connection after the response, with
// the bytes of the odd part. Kinds:
//   start    the status line
//   lines    lines ahead of the field that frames the body
//   interim  the lines of an interim response ahead of a sound one
//   chunk    the extension of a chunk
//   trailer  the lines of a trailer
//   ends     the end of each line, in place of CR LF
#include <Poco/Exception.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/String.h>
#include <string>

namespace waycove::standin {

class OddResponse {
public:
  /// Body of each of them; never the one that a sound target sends.
  static constexpr const char *Body = "odd";
  /// How long a connection that the peer does not end stays open.
  static constexpr int MaxOpenSeconds = 8;

  /// Whether a fault's name is one of those above.
  static bool isNamed(const std::string &Fault) {
    return Fault.starts_with(NamePrefix);
  }

  /// \p Fields are the header fields of a sound response, each with its line
  /// end.
  OddResponse(const std::string &Fault, const std::string &Fields) {
    std::string Name = Fault.substr(NamePrefix.size());
    this->Closes = Name.starts_with(ClosingPrefix);
    if (this->Closes)
      Name.erase(0, ClosingPrefix.size());
    const std::size_t End = Name.find(':');
    this->Text = textOf(Name.substr(0, End), Name.substr(End + 1), Fields);
  }

  /// Sends the response and waits until the peer ends the connection, unless
  /// this end does. Returns the bytes sent.
  std::uint64_t sendTo(Poco::Net::StreamSocket &Socket) const {
    try {
      Socket.sendBytes(this->Text.data(), static_cast<int>(this->Text.size()));
      if (!this->Closes)
        Socket.poll(Poco::Timespan(MaxOpenSeconds, 0),
                    Poco::Net::Socket::SELECT_READ);
      else
        Socket.shutdownSend();
    } catch (const Poco::Exception &) {
      // The peer has ended the connection.
    }
    return this->Text.size();
  }

private:
  inline static const std::string NamePrefix = "odd ";
  inline static const std::string ClosingPrefix = "closing ";

  static std::string textOf(const std::string &Kind, const std::string &Part,
                            const std::string &Fields) {
    const std::string Ok = "HTTP/1.1 200 OK\r\n";
    const std::string Whole = "Content-Length: 3\r\n\r\n" + std::string(Body);
    const std::string Chunked = Fields + "Transfer-Encoding: chunked\r\n\r\n";
    if (Kind == "start")
      return Part + "\r\n" + Fields + Whole;
    if (Kind == "lines")
      return Ok + Fields + Part + "\r\n" + Whole;
    if (Kind == "ends")
      return Poco::replace(Ok + Fields + Whole, std::string("\r\n"), Part);
    if (Kind == "interim")
      return "HTTP/1.1 103 Early Hints\r\n" + Part + "\r\n\r\n" + Ok + Fields +
             Whole;
    if (Kind == "chunk")
      return Ok + Chunked + "3;" + Part + "\r\n" + Body + "\r\n0\r\n\r\n";
    return Ok + Chunked + "3\r\n" + Body + "\r\n0\r\n" + Part + "\r\n\r\n";
  }

  bool Closes = false;
  std::string Text;
};

} // namespace waycove::standin
