// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "base/metrics.h"

#include <sstream>
#include <string_view>

namespace waycove {

namespace {

constexpr unsigned Buckets = 28;
constexpr double MinSeconds = 1e-6;
constexpr double MaxSeconds = 100;

constexpr std::array<std::string_view, static_cast<std::size_t>(Counter::Count)>
    CounterNames{
        "requests_done",      "requests_refused", "requests_cut",
        "attempts",           "retries",          "resumes",
        "tokens_out",         "forwards",         "claims_bound",
        "appends_sent",       "records_folded",   "records_refused",
        "peer_bytes_in",      "peer_bytes_out",   "platform_bytes_in",
        "platform_bytes_out", "health_bytes_in",  "health_bytes_out",
        "target_bytes_in",    "target_bytes_out", "groups_formed",
        "affinity_hits",      "affinity_misses",  "configs_applied",
        "orders_sent",        "orders_failed",    "targets_suspected",
        "requests_queued",    "first_attempts",   "first_attempts_rejected",
        "requests_overdue",   "standstills",      "answers_over_bounds"};

constexpr std::array<std::string_view, static_cast<std::size_t>(Gauge::Count)>
    GaugeNames{"requests_waiting", "places", "report_age_ms", "crash_culprits"};

constexpr std::array<std::string_view, static_cast<std::size_t>(Timer::Count)>
    TimerNames{"first_token_seconds",    "between_tokens_seconds",
               "whole_answer_seconds",   "queue_wait_seconds",
               "predicted_wait_seconds", "route_seconds",
               "registry_age_seconds",   "request_unread_seconds",
               "response_write_seconds"};

} // namespace

Metrics::Metrics() {
  for (auto &Value : this->Gauges)
    Value = UnsetGauge;
  for (std::size_t I = 0; I < TimerNames.size(); ++I)
    this->Timers.push_back({boost::histogram::make_histogram(
                                Axis(Buckets, MinSeconds, MaxSeconds)),
                            0, 0});
}

void Metrics::observe(Timer Which, std::chrono::nanoseconds Took) {
  double Seconds = std::chrono::duration<double>(Took).count();
  std::lock_guard Lock(this->Mutex);
  Series &Data = this->Timers[static_cast<std::size_t>(Which)];
  Data.Buckets(Seconds);
  Data.Sum += Seconds;
  ++Data.Samples;
}

std::string Metrics::text() const {
  std::ostringstream Out;
  for (std::size_t I = 0; I < CounterNames.size(); ++I)
    Out << "# TYPE waycove_" << CounterNames[I] << "_total counter\nwaycove_"
        << CounterNames[I] << "_total " << this->Counters[I].load() << "\n";
  for (std::size_t I = 0; I < GaugeNames.size(); ++I)
    if (std::int64_t Value = this->Gauges[I].load(); Value != UnsetGauge)
      Out << "# TYPE waycove_" << GaugeNames[I] << " gauge\nwaycove_"
          << GaugeNames[I] << " " << Value << "\n";
  Out << this->Calls.text() << this->Refusals.text() << this->VmTimes.text();
  std::lock_guard Lock(this->Mutex);
  for (std::size_t I = 0; I < TimerNames.size(); ++I) {
    const Series &Data = this->Timers[I];
    Out << "# TYPE waycove_" << TimerNames[I] << " histogram\n";
    double Cumulative = Data.Buckets.at(-1);
    for (unsigned C = 0; C < Buckets; ++C) {
      Cumulative += Data.Buckets.at(static_cast<int>(C));
      Out << "waycove_" << TimerNames[I] << "_bucket{le=\""
          << Data.Buckets.axis().bin(static_cast<int>(C)).upper() << "\"} "
          << static_cast<std::uint64_t>(Cumulative) << "\n";
    }
    Out << "waycove_" << TimerNames[I] << "_bucket{le=\"+Inf\"} "
        << Data.Samples << "\nwaycove_" << TimerNames[I] << "_sum " << Data.Sum
        << "\nwaycove_" << TimerNames[I] << "_count " << Data.Samples << "\n";
  }
  return Out.str();
}

} // namespace waycove
