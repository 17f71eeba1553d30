// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "base/json.h"

#include <Poco/Base64Decoder.h>
#include <Poco/Base64Encoder.h>
#include <Poco/JSON/Parser.h>
#include <iterator>
#include <new>
#include <sstream>

namespace waycove {

namespace {

constexpr std::size_t MaxJsonDepth = 16;

} // namespace

absl::StatusOr<JsonObject> parseJson(const std::string &Text) {
  try {
    Poco::JSON::Parser Parser;
    Parser.getHandler();
    Parser.setDepth(MaxJsonDepth);
    Poco::Dynamic::Var Value = Parser.parse(Text);
    if (Value.type() != typeid(JsonObject))
      return makeError(ErrorKind::BadRequest, "expected a JSON object");
    return Value.extract<JsonObject>();
  } catch (const Poco::Exception &Error) {
    return makeError(ErrorKind::BadRequest, "JSON: " + Error.displayText());
  } catch (const std::bad_alloc &) {
    // Says nothing about the text, which may be parsed later.
    throw;
  } catch (const std::exception &Error) {
    return makeError(ErrorKind::BadRequest,
                     std::string("JSON: ") + Error.what());
  }
}

std::string dumpJson(const Poco::JSON::Object &Object) {
  std::ostringstream Out;
  Object.stringify(Out);
  return Out.str();
}

std::string textAt(const JsonObject &Object, const std::string &Key) {
  Poco::Dynamic::Var Value = Object->get(Key);
  return Value.isString() ? Value.extract<std::string>() : "";
}

std::uint64_t numberAt(const JsonObject &Object, const std::string &Key,
                       std::uint64_t Default) {
  Poco::Dynamic::Var Value = Object->get(Key);
  try {
    return Value.isInteger() ? Value.convert<std::uint64_t>() : Default;
  } catch (const Poco::Exception &) {
    return Default;
  }
}

bool flagAt(const JsonObject &Object, const std::string &Key, bool Default) {
  Poco::Dynamic::Var Value = Object->get(Key);
  return Value.isBoolean() ? Value.extract<bool>() : Default;
}

std::string toBase64(const std::string &Bytes) {
  std::ostringstream Out;
  Poco::Base64Encoder Encoder(Out);
  Encoder.rdbuf()->setLineLength(0);
  Encoder.write(Bytes.data(), static_cast<std::streamsize>(Bytes.size()));
  Encoder.close();
  return Out.str();
}

absl::StatusOr<std::string> fromBase64(const std::string &Text) {
  try {
    std::istringstream In(Text);
    Poco::Base64Decoder Decoder(In);
    return std::string(std::istreambuf_iterator<char>(Decoder), {});
  } catch (const Poco::Exception &Error) {
    return makeError(ErrorKind::BadRequest, "base64: " + Error.displayText());
  }
}

} // namespace waycove
