// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// What a daemon exports, by which operators see an overload and whom it
// affects.
#include "base/metrics.h"

#include <algorithm>
#include <catch2/catch.hpp>

namespace waycove::test {

struct MetricsFixture {
  bool exports(const std::string &Line) const {
    return ("\n" + this->Exported.text()).find("\n" + Line + "\n") !=
           std::string::npos;
  }
  Metrics Exported;
};

// Guards against names that are shifted against the enums, and against a gauge
// that is exported as 0 before its value is known.
TEST_CASE_METHOD(MetricsFixture, "metrics: overload: its values are exported",
                 "[unit]") {
  CHECK_FALSE(this->exports("# TYPE waycove_places gauge"));
  this->Exported.set(Gauge::RequestsWaiting, 7);
  this->Exported.set(Gauge::Places, 34);
  this->Exported.set(Gauge::ReportAgeMs, 250);
  this->Exported.add(Counter::FirstAttempts, 5);
  this->Exported.add(Counter::FirstAttemptsRejected, 2);
  this->Exported.observe(Timer::PredictedWait, std::chrono::seconds(2));
  CHECK(this->exports("# TYPE waycove_places gauge"));
  CHECK(this->exports("waycove_requests_waiting 7"));
  CHECK(this->exports("waycove_places 34"));
  CHECK(this->exports("waycove_report_age_ms 250"));
  CHECK(this->exports("waycove_first_attempts_total 5"));
  CHECK(this->exports("waycove_first_attempts_rejected_total 2"));
  CHECK(this->exports("waycove_predicted_wait_seconds_sum 2"));
  CHECK(this->exports("waycove_queue_wait_seconds_count 0"));
}

// Guards against a series for each of very many workspaces.
TEST_CASE_METHOD(
    MetricsFixture,
    "refusal counts: many workspaces: the rest is counted together", "[unit]") {
  RefusalCounts &Counts = this->Exported.Refusals;
  for (unsigned I = 0; I < 1100; ++I)
    Counts.add("overloaded", "w" + std::to_string(I));
  Counts.add("overloaded", "w0");
  Counts.add("no_capacity", "w0");
  CHECK(Counts.get("overloaded", "w0") == 2);
  CHECK(Counts.get("overloaded", "other") == 100);
  CHECK(Counts.get("no_capacity", "w0") == 0);
  CHECK(Counts.get("no_capacity", "other") == 1);
  const std::string Text = Counts.text();
  CHECK(std::count(Text.begin(), Text.end(), '\n') == 1 + 1000 + 2);
}

} // namespace waycove::test
