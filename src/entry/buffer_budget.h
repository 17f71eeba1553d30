// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include <atomic>
#include <cstddef>
#include <string>
#include <utility>

namespace waycove {

/// Bounds the bytes of bodies that a node buffers, since peers that are slow to
/// read or to send would otherwise use up its memory. New requests give way
/// first: their bodies may use half of the budget only, so that the responses
/// of requests that have run find room. Thread-safe.
class BufferBudget {
public:
  enum class Use { Request, Response };

  explicit BufferBudget(std::size_t MaxBytes) : MaxBytes(MaxBytes) {}
  std::size_t used() const { return this->Used; }

  /// The part of the budget that one body uses, until the destructor returns
  /// it. Used by one thread.
  class Share {
  public:
    Share() = default;
    Share(BufferBudget &Owner, Use Kind) : Owner(&Owner), Kind(Kind) {}
    ~Share() { this->release(); }
    Share(Share &&Other) noexcept
        : Owner(std::exchange(Other.Owner, nullptr)), Kind(Other.Kind),
          Bytes(std::exchange(Other.Bytes, 0)) {}
    Share &operator=(Share &&Other) noexcept {
      if (this == &Other)
        return *this;
      this->release();
      this->Owner = std::exchange(Other.Owner, nullptr);
      this->Kind = Other.Kind;
      this->Bytes = std::exchange(Other.Bytes, 0);
      return *this;
    }

    /// Extends the share to \p Wanted bytes in all. Returns false, and leaves
    /// it as it is, if the budget does not allow that.
    bool growTo(std::size_t Wanted);

  private:
    void release();

    BufferBudget *Owner = nullptr;
    Use Kind = Use::Request;
    std::size_t Bytes = 0;
  };

private:
  /// Requests may use one part in this many.
  static constexpr std::size_t RequestDivisor = 2;

  bool take(std::size_t Bytes, Use Kind);

  const std::size_t MaxBytes;
  std::atomic<std::size_t> Used{0};
};

/// A body and its share of the node's buffers.
struct BufferedBody {
  std::string Bytes;
  BufferBudget::Share Share;
};

} // namespace waycove
