// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "control/log.h"
#include "control/vm_list.h"
#include "net/http.h"

namespace waycove {

/// Accesses the platform's log over HTTP:
///   POST /log/STREAM            body: the record; response {"offset": N}
///   GET  /log/STREAM?from=N&max=M&wait_ms=W
///        response {"first": F, "next": N, "records": [{"offset", "data"}]},
///        data in base64. Waits up to W ms for a record.
/// The header Store-Era of each response counts how often the platform's store
/// was restored from an older copy. It is part of the offsets returned here.
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

/// Accesses the platform's list of VMs over HTTP:
/// GET /vms?data_centre=X&since=V, response {"version", "whole", "vms": [{"id",
/// "data_centre", "domain", "host", "port", "state": "live"|"leaving"|"gone",
/// "labels"}]}.
class HttpVmList {
public:
  HttpVmList(const Settings &Config, Metrics &Counters);
  absl::StatusOr<VmPage> list(const DataCentreId &Centre, std::uint64_t Since);

private:
  HttpClient Client;
};

static_assert(LogService<HttpLog>);
static_assert(VmList<HttpVmList>);

} // namespace waycove
