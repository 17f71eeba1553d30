// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "entry/relay_attempt.h"

namespace waycove {

bool RelayExchange::deliver(const Poco::Net::HTTPResponse &Head,
                            const std::string &Bytes) {
  Poco::Net::HTTPResponse Out(Head.getStatus(), Head.getReason());
  copyEndToEnd(Head, Out);
  return this->Response.sendWhole(Out, Bytes, this->writeUntil()) ==
         IoStatus::Ok;
}

} // namespace waycove
