// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "board/entry_board.h"
#include "control/group_control.h"

#include <thread>

namespace waycove {

/// Carries orders to targets under the fence of an ownership, and tells the
/// log how each was taken. Used by one thread.
template <GroupControl Control> class OrderSender {
public:
  OrderSender(EntryBoard &Board, Control &Targets)
      : Board(Board), Targets(Targets) {}

  /// Gives orders to different targets at the same time, so that one that does
  /// not answer holds up none of the others, while \p Until holds. How each
  /// was taken.
  std::vector<OrderEnd> give(const std::vector<GroupOrder> &Orders,
                             std::uint64_t Fence, const Lease &Until) {
    std::vector<OrderEnd> Ends(Orders.size(), OrderEnd::NotSent);
    {
      std::vector<std::jthread> Senders;
      for (std::size_t I = 0; I < Orders.size(); ++I)
        Senders.emplace_back([&, I] {
          // Time may have passed, also while this process stood still.
          if (Until.holds(SystemClock{}.now()) &&
              !this->isFenced(Orders[I], Fence))
            Ends[I] = this->Targets.order(Orders[I], Fence);
        });
    }
    for (std::size_t I = 0; I < Orders.size(); ++I)
      this->noteEnd(Orders[I], Ends[I], Fence);
    return Ends;
  }

private:
  bool isFenced(const GroupOrder &Order, std::uint64_t Fence) const {
    auto At = this->FencedAt.find(Order.To->incarnation());
    return At != this->FencedAt.end() && At->second >= Fence;
  }

  void noteEnd(const GroupOrder &Order, OrderEnd End, std::uint64_t Fence) {
    this->Board.Counters.add(Counter::OrdersSent);
    if (End != OrderEnd::Taken)
      this->Board.Counters.add(Counter::OrdersFailed);
    if (End == OrderEnd::Fenced)
      this->FencedAt[Order.To->incarnation()] = Fence;
    this->Board.Log.emit(EventCode::DomainOrderEnded, Order.To->Id.Text,
                         LogFields()
                             .add("order", orderName(Order.Kind))
                             .add("group", Order.Group.Name)
                             .add("epoch", Order.Group.Epoch)
                             .add("fence", Fence)
                             .add("reason", Order.Reason)
                             .add("end", static_cast<int>(End)));
  }

  EntryBoard &Board;
  Control &Targets;
  /// Fence at which a target refused for a newer owner's order; a later
  /// life of it knows nothing of that.
  std::map<VmIncarnation, std::uint64_t> FencedAt;
};

} // namespace waycove
