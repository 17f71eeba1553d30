// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include <atomic>
#include <cstddef>
#include <functional>

namespace waycove {

/// Calls \p Function with 0 to \p Count - 1 in parallel, on a bounded number of
/// threads, and returns when all calls have ended. Calls for which no thread
/// can be started are made by the calling thread. Returns false if that was the
/// case. If calls throw exceptions, the others are made, and the first of them
/// is thrown to the caller.
bool runInParallel(std::size_t Count,
                   const std::function<void(std::size_t)> &Function);

} // namespace waycove
