#!/usr/bin/env python3
"""Says from the nodes' structured logs how late each knew that a target left.

  tools/drains.py LOG... [--worst N]

A LOG holds the lines of all nodes of one run. Times count from when the first
node knew that a target leaves or has gone, which is the earliest that logs show.
A row a log, and one for all:

- knew: until each other node knew it, in ms;
- sent: how late after the first node's knowing a request was begun at the target,
  in ms, over those that were; where lines name it, with the age of the view.

Nodes that were cut off, frozen or killed meanwhile count like the others.
Standard library alone.
"""
import argparse
import collections

from losses import read

REQUEST_ENDS = ("request_done", "request_cut", "attempt_ended", "request_refused")


def quantile(rows, part):
    return rows[min(len(rows) - 1, int(part * len(rows)))] if rows else 0


class Departures:
    """When each node knew of each target that it leaves, and what was sent there."""

    def __init__(self):
        self.known = collections.defaultdict(dict)
        self.sends = collections.defaultdict(list)
        self.lapsed = set()

    def left(self):
        return {target: nodes for target, nodes in self.known.items()
                if target not in self.lapsed}

    def take(self, at, node, row):
        target = row["subject"]
        if row["name"] == "target_gone" or (
                row["name"] == "target_changed" and row.get("draining") is True):
            self.known[target].setdefault(node, at)
        elif row["name"] == "target_changed" and node in self.known.get(target, ()):
            # Its entry had lapsed and is back: it has not left.
            self.lapsed.add(target)
        elif row["name"] in REQUEST_ENDS and row.get("target"):
            began = at - row.get("after_ms", 0) / 1000
            self.sends[row["target"]].append((began, node, row))

    def lags(self):
        return sorted(1000 * (at - min(nodes.values()))
                      for nodes in self.left().values() for at in nodes.values())

    def late(self):
        """(ms, target, node, line) of requests that came after the first knew."""
        rows = []
        for target, nodes in self.left().items():
            first = min(nodes.values())
            rows += [(1000 * (began - first), target, node, row)
                     for began, node, row in self.sends[target] if began > first]
        return sorted(rows, key=lambda row: row[0])


def show(name, targets, lags, late):
    sent = [row[0] for row in late]
    print("%-24s %7d %6.0f %6.0f %6.0f %6.0f %7d %6.0f %6.0f" % (
        name, targets, quantile(lags, .5), quantile(lags, .9), quantile(lags, .99),
        quantile(lags, 1), len(sent), quantile(sent, .5), quantile(sent, 1)))


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("logs", nargs="+")
    parser.add_argument("--worst", type=int, default=0, help="latest requests to show")
    args = parser.parse_args()
    print("%-24s %7s %6s %6s %6s %6s %7s %6s %6s" % (
        "", "targets", "knew50", "90", "99", "max", "sent", "50", "max"))
    all_lags, all_late, targets = [], [], 0
    for path in args.logs:
        run = Departures()
        for at, node, row in read(path):
            run.take(at, node, row)
        lags, late = run.lags(), run.late()
        show(path.split("/")[-1].removesuffix(".log"), len(run.left()), lags, late)
        all_lags += lags
        all_late += late
        targets += len(run.left())
    show("all", targets, sorted(all_lags), sorted(all_late, key=lambda row: row[0]))
    for ms, target, node, row in sorted(all_late, key=lambda row: -row[0])[:args.worst]:
        print("%6.0f ms %s at %s: %s %s, registry %s, %s ms old" % (
            ms, target, node, row["name"], row["subject"], row.get("registry"),
            row.get("registry_age_ms")))


if __name__ == "__main__":
    main()
