// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "policy/idempotency.h"

#include <algorithm>

namespace waycove {

namespace {

constexpr std::size_t MaxKeyBytes = 200;
constexpr std::size_t MaxDigits = 15;
/// A dispatcher retains a key longer than the fold of any node accepts it.
constexpr std::uint64_t RetentionMs =
    static_cast<std::uint64_t>((KeyWindow + 2 * KeySkew).count());

std::optional<WallMs> readMs(const std::string &Text) {
  bool Digits = !Text.empty() && Text.size() <= MaxDigits &&
                std::all_of(Text.begin(), Text.end(),
                            [](unsigned char C) { return std::isdigit(C); });
  if (!Digits)
    return std::nullopt;
  return WallMs(std::stoull(Text));
}

} // namespace

IdempotencyLookup IdempotencyTable::find(const ClaimId &Id,
                                         std::uint64_t Fingerprint) const {
  auto At = this->Entries.find(Id);
  if (At == this->Entries.end())
    return {};
  bool Differs = At->second.Fingerprint.value_or(Fingerprint) != Fingerprint;
  return {At->second.State, Differs, At->second.Response};
}

bool IdempotencyTable::begin(const ClaimId &Id, std::uint64_t Fingerprint,
                             WallMs Issued) {
  auto [At, Inserted] = this->Entries.try_emplace(
      Id, Entry{IdempotencyState::Running, Fingerprint, Issued, std::nullopt});
  if (Inserted)
    this->Ages.emplace(Issued, Id);
  return Inserted;
}

void IdempotencyTable::abandon(const ClaimId &Id) {
  auto At = this->Entries.find(Id);
  if (At == this->Entries.end())
    return;
  auto [From, To] = this->Ages.equal_range(At->second.Issued);
  for (auto Age = From; Age != To; ++Age)
    if (Age->second == Id) {
      this->Ages.erase(Age);
      break;
    }
  this->Entries.erase(At);
}

void IdempotencyTable::finish(const ClaimId &Id, StoredResponse Response) {
  auto At = this->Entries.find(Id);
  if (At == this->Entries.end())
    return;
  At->second.State = IdempotencyState::Done;
  this->BodyBytes += Response.Body.size();
  At->second.Response = std::move(Response);
  this->BodyOrder.push_back(Id);
  // Evict the oldest bodies above the limit; the requests stay recorded as run.
  while (this->BodyBytes > this->MaxBodyBytes &&
         this->BodyHead < this->BodyOrder.size()) {
    auto Old = this->Entries.find(this->BodyOrder[this->BodyHead++]);
    if (Old == this->Entries.end() || !Old->second.Response)
      continue;
    this->BodyBytes -= Old->second.Response->Body.size();
    Old->second.Response.reset();
    Old->second.State = IdempotencyState::Unknown;
  }
  if (this->BodyHead * 2 > this->BodyOrder.size()) {
    this->BodyOrder.erase(this->BodyOrder.begin(),
                          this->BodyOrder.begin() +
                              static_cast<std::ptrdiff_t>(this->BodyHead));
    this->BodyHead = 0;
  }
}

void IdempotencyTable::finishUnknown(const ClaimId &Id) {
  if (auto At = this->Entries.find(Id); At != this->Entries.end())
    At->second.State = IdempotencyState::Unknown;
}

void IdempotencyTable::markUnknown(const ClaimId &Id, WallMs Issued) {
  auto [At, Inserted] = this->Entries.try_emplace(
      Id, Entry{IdempotencyState::Unknown, std::nullopt, Issued, std::nullopt});
  if (Inserted)
    this->Ages.emplace(Issued, Id);
}

void IdempotencyTable::prune(WallMs Now) {
  while (!this->Ages.empty() &&
         this->Ages.begin()->first.Value + RetentionMs <= Now.Value) {
    auto At = this->Entries.find(this->Ages.begin()->second);
    if (At != this->Entries.end()) {
      if (At->second.Response)
        this->BodyBytes -= At->second.Response->Body.size();
      this->Entries.erase(At);
    }
    this->Ages.erase(this->Ages.begin());
  }
}

absl::StatusOr<IdempotencyKeyParts> parseKey(const IdempotencyKey &Key) {
  auto Bad = [] {
    return makeError(ErrorKind::KeyInvalid,
                     "expected <unix milliseconds>-<text> or a ticket, of at "
                     "most 200 printable characters");
  };
  const std::string &Text = Key.Text;
  bool Printable = std::all_of(Text.begin(), Text.end(), [](unsigned char C) {
    return C > 32 && C < 127;
  });
  if (Text.size() > MaxKeyBytes || !Printable)
    return Bad();
  bool IsTicket = Text.rfind("t-", 0) == 0;
  std::size_t From = IsTicket ? 2 : 0;
  std::size_t Dash = Text.find('-', From);
  if (Dash == std::string::npos || Dash + 1 == Text.size())
    return Bad();
  std::optional<WallMs> Issued = readMs(Text.substr(From, Dash - From));
  if (!Issued)
    return Bad();
  IdempotencyKeyParts Parts{*Issued, IncarnationId()};
  if (!IsTicket)
    return Parts;
  std::size_t Last = Text.find('-', Dash + 1);
  if (Last == std::string::npos || Last == Dash + 1)
    return Bad();
  Parts.Issuer = IncarnationId(Text.substr(Dash + 1, Last - Dash - 1));
  return Parts;
}

IdempotencyKey makeTicket(WallMs Now, const IncarnationId &Issuer,
                          std::uint64_t Number) {
  return IdempotencyKey("t-" + std::to_string(Now.Value) + "-" + Issuer.Text +
                        "-" + std::to_string(Number));
}

} // namespace waycove
