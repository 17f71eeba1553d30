// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "edge/platform.h"

#include "base/json.h"

#include <Poco/JSON/Array.h>
#include <Poco/NumberParser.h>

namespace waycove {

namespace {

constexpr Millis CallTimeout(1500);
/// A page of records may be of some megabytes.
constexpr ReplyBounds StoreReply{.TransferTime = Millis(5000)};
constexpr ByteCounters PlatformBytes{Counter::PlatformBytesIn,
                                     Counter::PlatformBytesOut};

std::string pathOf(LogStream Stream) {
  return Stream == LogStream::Records ? "/log/records" : "/log/checkpoints";
}

/// Maps a call's error to LogUnavailable where it certainly had no effect, else
/// to OutcomeUnknown.
absl::Status asLogError(const absl::Status &Status) {
  ErrorKind Kind = kindOf(Status) == ErrorKind::NoCapacity
                       ? ErrorKind::LogUnavailable
                       : ErrorKind::OutcomeUnknown;
  return makeError(Kind, messageOf(Status), Millis(1000));
}

/// The store era from the headers of \p Reply; zero where absent or invalid.
StoreEra eraOfReply(const HttpReply &Reply) {
  Poco::UInt64 Era = 0;
  Poco::NumberParser::tryParseUnsigned64(Reply.Header.get("Store-Era", ""),
                                         Era);
  return StoreEra(Era);
}

absl::StatusOr<JsonObject> jsonReply(const absl::StatusOr<HttpReply> &Reply) {
  if (!Reply.ok())
    return asLogError(Reply.status());
  if (Reply->Status >= 400 && Reply->Status < 500)
    return makeError(ErrorKind::LogUnavailable,
                     "the platform refused: " + Reply->Body, Millis(1000));
  if (Reply->Status != 200)
    return makeError(ErrorKind::OutcomeUnknown,
                     "the platform answered " + std::to_string(Reply->Status));
  absl::StatusOr<JsonObject> Body = parseJson(Reply->Body);
  if (!Body.ok())
    return makeError(ErrorKind::OutcomeUnknown, messageOf(Body.status()));
  return Body;
}

Poco::JSON::Array::Ptr arrayAt(const JsonObject &Object,
                               const std::string &Key) {
  Poco::JSON::Array::Ptr Rows = Object->getArray(Key);
  return Rows.isNull() ? Poco::JSON::Array::Ptr(new Poco::JSON::Array) : Rows;
}

VmInfo vmFromJson(const JsonObject &Fields) {
  VmInfo Info;
  Info.Id = VmId(textAt(Fields, "id"));
  Info.DataCentre = DataCentreId(textAt(Fields, "data_centre"));
  Info.Domain = DomainId(textAt(Fields, "domain"));
  Info.Address = {textAt(Fields, "host"),
                  static_cast<std::uint16_t>(numberAt(Fields, "port"))};
  Info.ListedLeaving = textAt(Fields, "state") == "leaving";
  if (JsonObject Pairs = Fields->getObject("labels"); !Pairs.isNull())
    for (const auto &[Key, Value] : *Pairs)
      if (Value.isString())
        Info.OwnLabels.set(Key, Value.extract<std::string>());
  return Info;
}

} // namespace

HttpLog::HttpLog(const Settings &Config, Metrics &Counters)
    : Reader(Config.Platform, Config.ConnectTimeout, Counters, PlatformBytes,
             StoreReply),
      Writer(Config.Platform, Config.ConnectTimeout, Counters, PlatformBytes,
             StoreReply) {}

absl::StatusOr<Offset> HttpLog::append(LogStream Stream,
                                       const std::string &Bytes) {
  HttpCall Call{"POST", pathOf(Stream), Bytes, "application/octet-stream", {}};
  absl::StatusOr<HttpReply> Reply = this->Writer.call(Call, CallTimeout);
  absl::StatusOr<JsonObject> Body = jsonReply(Reply);
  if (!Body.ok())
    return Body.status();
  if (!(*Body)->has("offset"))
    return makeError(ErrorKind::OutcomeUnknown, "no offset in the answer");
  return Offset(packPosition(eraOfReply(*Reply), numberAt(*Body, "offset")));
}

absl::StatusOr<LogPage> HttpLog::read(LogStream Stream, Offset From,
                                      std::size_t Max, Millis Wait) {
  HttpCall Call{"GET",
                pathOf(Stream) +
                    "?from=" + std::to_string(withoutEra(From.Value)) +
                    "&max=" + std::to_string(Max) +
                    "&wait_ms=" + std::to_string(Wait.count()),
                "",
                "",
                {}};
  absl::StatusOr<HttpReply> Reply = this->Reader.call(Call, CallTimeout + Wait);
  absl::StatusOr<JsonObject> Body = jsonReply(Reply);
  if (!Body.ok())
    return Body.status();
  auto At = [Era = eraOfReply(*Reply)](const JsonObject &Row,
                                       const std::string &Key) {
    return Offset(packPosition(Era, numberAt(Row, Key)));
  };
  LogPage Page{At(*Body, "first"), At(*Body, "next"), {}};
  Poco::JSON::Array::Ptr Rows = arrayAt(*Body, "records");
  for (unsigned I = 0; I < Rows->size(); ++I) {
    JsonObject Row = Rows->getObject(I);
    if (Row.isNull())
      continue;
    absl::StatusOr<std::string> Bytes = fromBase64(textAt(Row, "data"));
    if (!Bytes.ok())
      return Bytes.status();
    Page.Records.push_back({At(Row, "offset"), *Bytes});
  }
  return Page;
}

HttpVmList::HttpVmList(const Settings &Config, Metrics &Counters)
    : Client(Config.Platform, Config.ConnectTimeout, Counters, PlatformBytes,
             StoreReply) {}

absl::StatusOr<VmPage> HttpVmList::list(const DataCentreId &Centre,
                                        std::uint64_t Since) {
  HttpCall Call{"GET",
                "/vms?data_centre=" + Centre.Text +
                    "&since=" + std::to_string(withoutEra(Since)),
                "",
                "",
                {}};
  absl::StatusOr<HttpReply> Reply = this->Client.call(Call, CallTimeout);
  absl::StatusOr<JsonObject> Body = jsonReply(Reply);
  if (!Body.ok())
    return Body.status();
  VmPage Page;
  Page.Version = packPosition(eraOfReply(*Reply), numberAt(*Body, "version"));
  Page.Whole = flagAt(*Body, "whole", false);
  Poco::JSON::Array::Ptr Rows = arrayAt(*Body, "vms");
  for (unsigned I = 0; I < Rows->size(); ++I) {
    JsonObject Row = Rows->getObject(I);
    if (Row.isNull())
      continue;
    VmInfo Info = vmFromJson(Row);
    if (textAt(Row, "state") == "gone")
      Page.Removed.push_back(Info.Id);
    else
      Page.Vms.push_back(std::move(Info));
  }
  return Page;
}

} // namespace waycove
