// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "base/errors.h"

#include <Poco/JSON/Object.h>

namespace waycove {

using JsonObject = Poco::JSON::Object::Ptr;

/// Reads one JSON object, of bounded depth. Errors: BadRequest.
absl::StatusOr<JsonObject> parseJson(const std::string &Text);
std::string dumpJson(const Poco::JSON::Object &Object);
/// The text at \p Key; empty where it is absent or no text.
std::string textAt(const JsonObject &Object, const std::string &Key);
/// The whole number at \p Key; \p Default where it is absent or not one.
std::uint64_t numberAt(const JsonObject &Object, const std::string &Key,
                       std::uint64_t Default = 0);
bool flagAt(const JsonObject &Object, const std::string &Key, bool Default);

std::string toBase64(const std::string &Bytes);
/// Nothing where \p Text is not base64.
absl::StatusOr<std::string> fromBase64(const std::string &Text);

} // namespace waycove
