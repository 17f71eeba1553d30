// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "control/log.h"
#include "control/vm_list.h"
#include "net/http.h"

namespace waycove {

/// The platform's log over HTTP:
///   POST /log/STREAM            body: the record; answer {"offset": N}
///   GET  /log/STREAM?from=N&max=M&wait_ms=W
///        answer {"first": F, "next": N, "records": [{"offset", "data"}]},
///        data in base64. Waits up to W for a record.
/// In all answers, Store-Era tells how often the platform came back from an
/// older copy of itself; it is part of the offsets given here.
class HttpLog {
public:
  HttpLog(const Settings &Config, Metrics &Counters);
  absl::StatusOr<Offset> append(LogStream Stream, const std::string &Bytes);
  absl::StatusOr<LogPage> read(LogStream Stream, Offset From, std::size_t Max,
                               Millis Wait);

private:
  HttpClient Reader;
  HttpClient Writer;
};

/// The list over HTTP: GET /vms?data_centre=X&since=V, answer {"version",
/// "whole", "vms": [{"id", "data_centre", "domain", "host", "port", "state":
/// "live"|"leaving"|"gone", "labels"}]}.
class HttpVmList {
public:
  HttpVmList(const Settings &Config, Metrics &Counters);
  absl::StatusOr<VmPage> list(const DataCentreId &Centre, std::uint64_t Since);

private:
  HttpClient Caller;
};

static_assert(LogService<HttpLog>);
static_assert(VmList<HttpVmList>);

} // namespace waycove
