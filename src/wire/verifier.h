// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include <cstddef>
#include <cstdint>
#include <flatbuffers/flatbuffers.h>
#include <type_traits>

namespace waycove::wire {

/// Verifies bytes of another node before they are read, as FlatBuffers'
/// verifier does. Of a vector that one checks where its length lies but not its
/// elements: damage may leave those of 8 bytes at a multiple of 4, and to read
/// them there is undefined. The generated code calls this class, for every
/// vector of every table, by the names of FlatBuffers' own, which is final.
// NOLINTBEGIN(readability-identifier-naming)
class AlignedVerifier {
  using uoffset_t = ::flatbuffers::uoffset_t;
  using soffset_t = ::flatbuffers::soffset_t;

public:
  /// The limits, of tables in each other and of all tables, and their defaults
  /// are those of FlatBuffers' verifier.
  AlignedVerifier(const std::uint8_t *Data, std::size_t Size,
                  uoffset_t MaxDepth = 64, uoffset_t MaxTables = 1'000'000)
      : Data(Data), Size(Size), Checks(Data, Size, MaxDepth, MaxTables) {}

  /// Whether the bytes are a \p T that can be read.
  template <typename T> bool VerifyBuffer(const char * /*Identifier*/) {
    return this->Size >= FLATBUFFERS_MIN_BUFFER_SIZE &&
           this->Checks.VerifyOffset(0) != 0 &&
           ::flatbuffers::GetRoot<T>(this->Data)->Verify(*this);
  }

  /// No bytes of ours have their size before them; the generated code names it.
  template <typename T>
  bool VerifySizePrefixedBuffer(const char * /*Identifier*/) {
    return false;
  }

  /// Elements are read in place: numbers, offsets, and structs, which
  /// FlatBuffers writes as pointers. Those of an empty vector have no place.
  template <typename T>
  bool VerifyVector(const ::flatbuffers::Vector<T> *Vector) const {
    if (!Vector)
      return true;
    if (!this->Checks.VerifyVector(Vector))
      return false;
    auto At = static_cast<std::size_t>(
        reinterpret_cast<const std::uint8_t *>(Vector) - this->Data);
    return Vector->size() == 0 ||
           this->Checks.VerifyAlignment(At + sizeof(uoffset_t),
                                        alignof(std::remove_pointer_t<T>));
  }

  template <typename T>
  bool VerifyVectorOfTables(
      const ::flatbuffers::Vector<::flatbuffers::Offset<T>> *Vector) {
    for (uoffset_t I = 0; Vector && I < Vector->size(); ++I)
      if (!Vector->Get(I)->Verify(*this))
        return false;
    return true;
  }

  template <typename T> bool VerifyTable(const T *Table) {
    return !Table || Table->Verify(*this);
  }

  bool VerifyVectorOfStrings(
      const ::flatbuffers::Vector<::flatbuffers::Offset<::flatbuffers::String>>
          *Vector) const {
    return this->Checks.VerifyVectorOfStrings(Vector);
  }
  bool VerifyString(const ::flatbuffers::String *String) const {
    return this->Checks.VerifyString(String);
  }
  bool EndTable() { return this->Checks.EndTable(); }

  /// For the checks of one table's fields, which hold no vector.
  operator ::flatbuffers::Verifier &() { return this->Checks; }

private:
  const std::uint8_t *Data;
  std::size_t Size;
  ::flatbuffers::Verifier Checks;
};
// NOLINTEND(readability-identifier-naming)

/// Within `wire`, where the generated code is, the name `flatbuffers::Verifier`
/// means the class above and all others what they mean elsewhere.
namespace flatbuffers {
using namespace ::flatbuffers;
using Verifier = AlignedVerifier;
} // namespace flatbuffers

} // namespace waycove::wire
