#!/usr/bin/env python3
"""Says where a day's service was lost, from the daemons' structured logs.

  tools/losses.py LOG [--step SECONDS] [--from SECONDS] [--domains]

LOG holds the lines of all nodes, each a JSON object, with or without a time in
seconds and a node's name before it. Two tables by moment:

- requests: answered within their route's objective, late by place, refused and
  failed by reason;
- VMs, as the node that saw the most tells it: in groups that serve, by model,
  and why the others serve nobody.

Standard library alone, so it runs on the machine of whoever is on call.
"""
import argparse
import collections
import json
import re
import sys

STATES = ["joining", "ready", "open", "closing", "broken"]
OPEN, CLOSING, BROKEN = 2, 3, 4


def read(path):
    """Yields (seconds, node, fields) for each structured line."""
    first = None
    for line in open(path, errors="replace"):
        at = line.find('{"clock"')
        if at < 0:
            continue
        try:
            row = json.loads(line[at:])
        except ValueError:
            continue
        lead = line[:at].split()
        if lead and re.fullmatch(r"-?[0-9.]+", lead[0]):
            yield float(lead[0]), row["node"], row
            continue
        first = row["time_ms"] if first is None else first
        yield (row["time_ms"] - first) / 1000, row["node"], row


class Vms:
    """What one node knew of the targets that form groups."""

    def __init__(self):
        self.rows = {}

    def take(self, row):
        if row["name"] == "target_gone":
            self.rows.pop(row["subject"], None)
        elif row.get("domain"):
            self.rows[row["subject"]] = row

    def judge(self):
        """Counts VMs by what they do."""
        groups = collections.defaultdict(dict)
        for vm in self.rows.values():
            if "group" in vm:
                groups[vm["group"]][vm["rank"]] = vm
        counts = collections.Counter()
        for vm in self.rows.values():
            counts[self.use(vm, groups)] += 1
        return counts

    @staticmethod
    def use(vm, groups):
        if vm.get("draining"):
            return "draining"
        if "group" not in vm:
            staged = vm.get("staged", "").strip()
            return "rests, " + (staged or "nothing") + " staged"
        model = vm["group"].split(",")[0]
        head = groups[vm["group"]].get(0)
        if head is None:
            return "its head is gone"
        if head["state"] == OPEN:
            return "serves " + model
        return STATES[head["state"]] + " " + model


def place_of(row, goal):
    """Why an answer was late."""
    first = row.get("first_byte_ms", 0)
    if row.get("sends", 1) > 1:
        return "late, sent again"
    if goal and first > goal:
        return "late, first byte"
    return "answered"


def main():
    args = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    args.add_argument("log")
    args.add_argument("--step", type=float, default=2)
    args.add_argument("--begin", type=float, default=0)
    args.add_argument("--goals", default="",
                      help="ROUTE_PREFIX=MS,... objectives of routes")
    args.add_argument("--domains", action="store_true")
    opt = args.parse_args()
    rows = list(read(opt.log))
    goals = dict(p.split("=") for p in opt.goals.split(",") if p)
    seen = collections.Counter(
        node for _, node, row in rows if row["name"] == "target_changed")
    if not seen:
        sys.exit("no target_changed lines in " + opt.log)
    best = seen.most_common(1)[0][0]
    print(f"# VMs as {best} saw them; requests of all nodes")
    vms = Vms()
    end = opt.begin + opt.step
    uses = collections.Counter()
    done = collections.defaultdict(list)
    lost = collections.Counter()
    heads = collections.defaultdict(set)

    def flush():
        counts = vms.judge()
        for use, count in counts.items():
            uses[use] += count * opt.step
        line = f"{end - opt.step:6.1f}  "
        line += "; ".join(f"{c} {u}" for u, c in sorted(counts.items()))
        print(line)
        for model, firsts in sorted(done.items()):
            firsts.sort()
            print(f"          {model or 'plain'}: {len(firsts)} answers at "
                  f"{len(heads[model])} targets, first byte p50 "
                  f"{firsts[len(firsts) // 2]} p90 "
                  f"{firsts[len(firsts) * 9 // 10]} ms")
        if lost:
            print("          lost: " + "; ".join(
                f"{c} {u}" for u, c in lost.most_common(6)))
        if opt.domains:
            by = collections.defaultdict(list)
            groups = collections.defaultdict(dict)
            for vm in vms.rows.values():
                if "group" in vm:
                    groups[vm["group"]][vm["rank"]] = vm
            for vm in vms.rows.values():
                by[vm["domain"]].append(vms.use(vm, groups))
            for d in sorted(by):
                c = collections.Counter(by[d])
                print(f"          {d}: " + "; ".join(
                    f"{n} {u}" for u, n in sorted(c.items())))
        done.clear()
        lost.clear()
        heads.clear()

    for at, node, row in rows:
        if at < opt.begin:
            if node == best and row["name"].startswith("target_"):
                vms.take(row)
            continue
        while at >= end:
            flush()
            end += opt.step
        name = row["name"]
        if node == best and name in ("target_changed", "target_gone"):
            vms.take(row)
        elif name == "request_done" and "status" not in row:
            done[row.get("model", "")].append(row.get("first_byte_ms", 0))
            heads[row.get("model", "")].add(row.get("target"))
        elif name in ("request_refused", "request_cut") or (
                name == "request_done" and "status" in row):
            lost[f"{name[8:]} {row.get('model') or 'plain'}: "
                 f"{row.get('reason', '')}"] += 1
    flush()
    print("# VM-seconds by use")
    for use, count in uses.most_common():
        print(f"  {count:8.0f}  {use}")


if __name__ == "__main__":
    main()
