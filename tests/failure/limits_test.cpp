// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// A process at its limits: bytes from outside that are damaged, and memory,
// descriptors or threads that are short, end neither the process nor answers
// that have started. Where a process ends, it says so in its log.
#include "support/entry_fixture.h"
#include "wire/frame.h"

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <array>

namespace waycove::test {

namespace {

using std::chrono::milliseconds;

/// The bytes of a frame that names the type of its message and lacks it.
std::string frameWithoutMessage(wire::Message Type) {
  flatbuffers::FlatBufferBuilder Builder;
  wire::FrameBuilder Frame(Builder);
  Frame.add_message_type(Type);
  Builder.Finish(Frame.Finish());
  std::string Bytes(reinterpret_cast<const char *>(Builder.GetBufferPointer()),
                    Builder.GetSize());
  auto Size = static_cast<std::uint32_t>(Bytes.size());
  std::string Length(sizeof(Size), '\0');
  for (std::size_t I = 0; I < Length.size(); ++I)
    Length[I] = static_cast<char>((Size >> (8 * I)) & 0xFF);
  return Length + Bytes;
}

/// Sends \p Bytes on a new connection and waits until the peer has ended it.
void sendTo(std::uint16_t Port, const std::string &Bytes) {
  Poco::Net::StreamSocket Socket(Poco::Net::SocketAddress("127.0.0.1", Port));
  Socket.setReceiveTimeout(Poco::Timespan(5, 0));
  try {
    Socket.sendBytes(Bytes.data(), static_cast<int>(Bytes.size()));
    std::array<char, 4096> Block{};
    while (Socket.receiveBytes(Block.data(), Block.size()) > 0)
      ;
  } catch (const Poco::Exception &) {
    // The peer has reset the connection.
  }
}

} // namespace

// Guards against a process that ends by signal 11 on a frame of a peer that
// names a message and lacks it.
TEST_CASE_METHOD(EntryFixture,
                 "limits: frames without their message come: they are refused "
                 "and callers served",
                 "[failure]") {
  for (auto Type : wire::EnumValuesMessage()) {
    INFO(wire::EnumNameMessage(Type));
    sendTo(this->Run.peerPort("n1"), frameWithoutMessage(Type));
    REQUIRE(this->Run.node("n1").wait(milliseconds(100)) == -1);
  }
  CHECK(this->call("/safe/x", "after").Status == 200);
}

} // namespace waycove::test
