#!/usr/bin/env python3
"""Says where a day's service was lost, from the daemons' structured logs.

  tools/losses.py LOG [--step SECONDS] [--begin SECONDS] [--domains] [--centres]

LOG holds the lines of all nodes, each a JSON object, with or without a time in
seconds and a node's name before it. By moment:

- requests: answered, and refused and failed by reason;
- VMs, as all nodes together tell it, by the registry's positions, since only
  some nodes tell each change: in groups that serve, by model, and why the
  others serve nobody; with --domains by domain, too;
- VM-seconds by state, from the vm_time lines: a service's states hold until its
  next line, from whichever node, but no longer than --hold seconds;
- with --centres: first events later than --late milliseconds, of all, by the
  data centre of the node that the caller came to.

Standard library alone, so it runs on the machine of whoever is on call.
"""
import argparse
import collections
import json
import re
import sys

STATES = ["joining", "ready", "open", "closing", "broken"]
OPEN = 2
VM_STATES = ["serving", "forming", "loading", "headless", "incomplete",
             "closing", "draining", "evacuated", "reserve"]


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
    """What the nodes knew of the targets that form groups."""

    def __init__(self):
        self.rows = {}
        self.newest = {}

    def take(self, row):
        at = row["registry"]
        if at < self.newest.get(row["subject"], at):
            return
        self.newest[row["subject"]] = at
        if row["name"] == "target_gone":
            self.rows.pop(row["subject"], None)
        elif row.get("domain"):
            self.rows[row["subject"]] = row

    def groups(self):
        """The members of each group, by rank."""
        groups = collections.defaultdict(dict)
        for vm in self.rows.values():
            if "group" in vm:
                groups[vm["group"]][vm["rank"]] = vm
        return groups

    def uses(self):
        """Counts VMs by what they do."""
        groups = self.groups()
        return collections.Counter(
            self.use(vm, groups) for vm in self.rows.values())

    def uses_by_domain(self):
        groups = self.groups()
        by = collections.defaultdict(collections.Counter)
        for vm in self.rows.values():
            by[vm["domain"]][self.use(vm, groups)] += 1
        return by

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


class VmTimes:
    """VM-seconds by service and state, from vm_time lines."""

    def __init__(self, begin, hold):
        self.begin = begin
        self.hold = hold
        self.last = {}
        self.seconds = collections.Counter()
        self.unknown = collections.Counter()

    def take(self, at, row):
        self.add_until(at, row["subject"])
        self.last[row["subject"]] = (at, self.states(row))

    def add_until(self, at, service):
        """Counts the states of the service's last line until then."""
        if service not in self.last:
            return
        since, states = self.last[service]
        since = max(since, self.begin)
        known = max(0, min(at - since, self.hold))
        for state, count in states.items():
            self.seconds[(service, state)] += count * known
        self.unknown[service] += max(0, at - since - known)

    @staticmethod
    def states(row):
        states = {state: row[state] for state in VM_STATES if state in row}
        for part in row.get("loading_staged", "").split():
            model, count = part.rsplit("=", 1)
            states["loading, " + model + " staged"] = int(count)
            states["loading"] -= int(count)
        return states

    def show(self, end):
        for service in self.last:
            self.add_until(end, service)
        self.last = {}
        print("# VM-seconds by state, of vm_time lines")
        for service in sorted({service for service, _ in self.seconds}):
            rows = [(seconds, state)
                    for (of, state), seconds in self.seconds.items()
                    if of == service and seconds > 0]
            total = sum(seconds for seconds, _ in rows)
            print(f"  {total:8.0f}         {service}")
            for seconds, state in sorted(rows, reverse=True):
                share = 100 * seconds / total
                print(f"  {seconds:8.0f}  {share:4.1f}%    {state}")
            if self.unknown[service] > 0:
                print(f"  unknown for {self.unknown[service]:.0f} s: no lines")


class Requests:
    """What became of the requests of one moment."""

    def __init__(self, late_ms):
        self.late_ms = late_ms
        self.first_bytes = collections.defaultdict(list)
        self.targets = collections.defaultdict(set)
        self.lost = collections.Counter()
        self.by_centre = collections.defaultdict(lambda: [0, 0])

    def take(self, row, centre):
        model = row.get("model", "")
        if row["name"] == "request_done" and "status" not in row:
            first_byte = row.get("first_byte_ms", 0)
            self.first_bytes[model].append(first_byte)
            self.targets[model].add(row.get("target"))
            count = self.by_centre[(model, centre)]
            count[0] += first_byte > self.late_ms
            count[1] += 1
        elif row["name"] in ("request_refused", "request_cut", "request_done"):
            self.lost[f"{row['name'][8:]} {model or 'plain'}: "
                      f"{row.get('reason', '')}"] += 1

    def show(self):
        for model, firsts in sorted(self.first_bytes.items()):
            firsts.sort()
            print(f"          {model or 'plain'}: {len(firsts)} answers at "
                  f"{len(self.targets[model])} targets, first byte p50 "
                  f"{firsts[len(firsts) // 2]} p90 "
                  f"{firsts[len(firsts) * 9 // 10]} ms")
        if self.lost:
            print("          lost: " + "; ".join(
                f"{count} {why}" for why, count in self.lost.most_common(6)))

    def show_centres(self):
        for model in sorted({model for model, _ in self.by_centre if model}):
            print(f"          late {model}: " + "; ".join(
                f"{centre} {late} of {count}"
                for (of, centre), (late, count) in sorted(self.by_centre.items())
                if of == model))


def line_of(uses):
    return "; ".join(f"{count} {use}" for use, count in sorted(uses.items()))


def show_moment(at, vms, requests, opt):
    print(f"{at:6.1f}  {line_of(vms.uses())}")
    requests.show()
    if opt.centres:
        requests.show_centres()
    if opt.domains:
        for domain, uses in sorted(vms.uses_by_domain().items()):
            print(f"          {domain}: {line_of(uses)}")


def parse_args():
    args = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    args.add_argument("log")
    args.add_argument("--step", type=float, default=2)
    args.add_argument("--begin", type=float, default=0)
    args.add_argument("--late", type=int, default=400,
                      help="operators' objective for the first event, in ms")
    args.add_argument("--hold", type=float, default=10,
                      help="longest time that a vm_time line holds, in s")
    args.add_argument("--domains", action="store_true")
    args.add_argument("--centres", action="store_true")
    return args.parse_args()


def main():
    opt = parse_args()
    rows = list(read(opt.log))
    if not any(row["name"] == "target_changed" for _, _, row in rows):
        sys.exit("no target_changed lines in " + opt.log)
    centres = {node: row["data_centre"] for _, node, row in rows
               if row["name"] == "daemon_started" and "data_centre" in row}
    vms, requests = Vms(), Requests(opt.late)
    end = opt.begin + opt.step
    totals = collections.Counter()
    times = VmTimes(opt.begin, opt.hold)

    def close():
        show_moment(end - opt.step, vms, requests, opt)
        for use, count in vms.uses().items():
            totals[use] += count * opt.step

    for at, node, row in rows:
        while at >= end:
            close()
            requests = Requests(opt.late)
            end += opt.step
        if row["name"] in ("target_changed", "target_gone"):
            vms.take(row)
        elif row["name"] == "vm_time":
            times.take(at, row)
        elif at >= opt.begin and row["name"].startswith("request_"):
            requests.take(row, centres.get(node, ""))
    close()
    print("# VM-seconds by use")
    for use, count in totals.most_common():
        print(f"  {count:8.0f}  {use}")
    times.show(rows[-1][0])


if __name__ == "__main__":
    main()
