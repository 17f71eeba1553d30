// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "base/parallel.h"
#include "board/entry_board.h"
#include "control/group_control.h"
#include "policy/order_refusals.h"

namespace waycove {

/// Sends orders to targets under the fence of an assignment and logs their
/// outcomes. Sends nothing to a target that refused the fence for a newer one.
/// Used by one thread.
template <GroupControl Control> class OrderSender {
public:
  OrderSender(EntryBoard &Board, Control &Targets)
      : Board(Board), Targets(Targets) {}

  /// Sends \p Orders in parallel, so that an unresponsive target delays none of
  /// the others, as long as \p HeldLease holds. Returns their outcomes in
  /// order.
  std::vector<OrderOutcome> send(const std::vector<GroupOrder> &Orders,
                                 std::uint64_t Fence, const Lease &HeldLease) {
    std::vector<Delivery> Deliveries(Orders.size());
    bool Started = runInParallel(Orders.size(), [&](std::size_t I) {
      // The lease may have ended since planning, e.g. in a suspension.
      if (HeldLease.holds(SystemClock{}.now()) &&
          !this->Refusals.isFenced(Orders[I].To->incarnation(), Fence))
        Deliveries[I] = this->deliver(Orders[I], Fence);
    });
    if (!Started)
      this->Board.Log.emit(EventCode::ThreadNotStarted, "orders");
    std::vector<OrderOutcome> Outcomes;
    Outcomes.reserve(Orders.size());
    for (std::size_t I = 0; I < Orders.size(); ++I) {
      Outcomes.push_back(this->outcomeOf(Orders[I], Deliveries[I], Fence));
      this->recordOutcome(Orders[I], Outcomes[I], Fence);
    }
    return Outcomes;
  }

private:
  struct Delivery {
    OrderOutcome Outcome = OrderOutcome::NotSent;
    /// Of a target that refused to join.
    OrderRefusals::ReportedGroup Reported = std::nullopt;
  };

  Delivery deliver(const GroupOrder &Order, std::uint64_t Fence) {
    Delivery Result;
    Result.Outcome = this->Targets.order(Order, Fence);
    if (Result.Outcome == OrderOutcome::Fenced && Order.Kind == OrderKind::Join)
      Result.Reported = this->Targets.reportedGroup(*Order.To);
    return Result;
  }

  OrderOutcome outcomeOf(const GroupOrder &Order, const Delivery &Result,
                         std::uint64_t Fence) {
    if (Result.Outcome != OrderOutcome::Fenced)
      return Result.Outcome;
    switch (this->Refusals.record(Order, Fence, Result.Reported)) {
    case OrderRefusals::Cause::NewerFence:
      return OrderOutcome::Fenced;
    case OrderRefusals::Cause::NewerEpoch:
      return OrderOutcome::EpochSeen;
    case OrderRefusals::Cause::InNewerGroup:
    case OrderRefusals::Cause::Unknown:
      break;
    }
    return OrderOutcome::Refused;
  }

  void recordOutcome(const GroupOrder &Order, OrderOutcome Outcome,
                     std::uint64_t Fence) {
    this->Board.Counters.add(Counter::OrdersSent);
    if (Outcome != OrderOutcome::Accepted)
      this->Board.Counters.add(Counter::OrdersFailed);
    this->Board.Log.emit(EventCode::DomainOrderEnded, Order.To->Id.Text,
                         LogFields()
                             .add("order", orderName(Order.Kind))
                             .add("group", Order.Group.Name)
                             .add("epoch", Order.Group.Epoch)
                             .add("fence", Fence)
                             .add("reason", Order.Reason)
                             .add("end", static_cast<int>(Outcome)));
  }

  EntryBoard &Board;
  Control &Targets;
  OrderRefusals Refusals;
};

} // namespace waycove
