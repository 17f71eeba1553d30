// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "base/errors.h"

#include <Poco/JSON/Object.h>

namespace waycove {

using JsonObject = Poco::JSON::Object::Ptr;

/// Parses a JSON object of bounded depth. Errors: BadRequest.
absl::StatusOr<JsonObject> parseJson(const std::string &Text);
std::string dumpJson(const Poco::JSON::Object &Object);
/// Returns the string at \p Key; empty if absent or of another type.
std::string textAt(const JsonObject &Object, const std::string &Key);
/// Returns the integer at \p Key; \p Default if absent or of another type.
std::uint64_t numberAt(const JsonObject &Object, const std::string &Key,
                       std::uint64_t Default = 0);
/// Returns the boolean at \p Key; \p Default if absent or of another type.
bool flagAt(const JsonObject &Object, const std::string &Key, bool Default);

std::string toBase64(const std::string &Bytes);
/// Errors: BadRequest if \p Text is not valid base64.
absl::StatusOr<std::string> fromBase64(const std::string &Text);

} // namespace waycove
