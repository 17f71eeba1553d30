// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// Which start times of registry entries are believed.
#include "policy/start_times.h"

#include <catch2/catch.hpp>
#include <limits>

namespace waycove::test {

// Guards against a start that no later life of a target can exceed.
TEST_CASE("start times: ahead of the clock: true within an hour, as clocks "
          "differ",
          "[unit]") {
  constexpr std::uint64_t Now = 1'800'000'000'000;
  constexpr std::uint64_t Hour = 3'600'000;
  for (std::uint64_t Start :
       {std::uint64_t(0), std::uint64_t(1), Now, Now + 5000, Now + Hour})
    CHECK(StartTimes::isPlausible(WallMs(Start), WallMs(Now)));
  for (std::uint64_t Start :
       {Now + Hour + 1, Now * 5, std::numeric_limits<std::uint64_t>::max()})
    CHECK_FALSE(StartTimes::isPlausible(WallMs(Start), WallMs(Now)));
}

// Guards against one entry that decides for all others.
TEST_CASE("start times: some entries state one: expected of all from half on",
          "[unit]") {
  StartTimes Starts;
  CHECK_FALSE(Starts.areStated());
  for (int I = 0; I < 4; ++I)
    Starts.onEntry(VmId("plain-" + std::to_string(I)), WallMs());
  CHECK_FALSE(Starts.areStated());
  for (int I = 0; I < 3; ++I)
    Starts.onEntry(VmId("i-" + std::to_string(I)), WallMs(100));
  CHECK_FALSE(Starts.areStated());
  // The same target again, with its start now.
  Starts.onEntry(VmId("plain-0"), WallMs(100));
  CHECK(Starts.areStated());
  Starts.onGone(VmId("plain-0"));
  Starts.onGone(VmId("plain-0"));
  Starts.onGone(VmId("nobody"));
  CHECK(Starts.areStated());
  Starts.onGone(VmId("i-0"));
  CHECK_FALSE(Starts.areStated());
  Starts.clear();
  Starts.onEntry(VmId("i-0"), WallMs(100));
  CHECK(Starts.areStated());
}

} // namespace waycove::test
