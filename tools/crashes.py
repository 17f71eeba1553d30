#!/usr/bin/env python3
"""Says what was running at each target that ended, from the daemons' logs.

  tools/crashes.py LOG... [--within SECONDS] [--top N]

LOG holds the lines of all nodes, each a JSON object, with or without a time in
seconds and a node's name before it; several files are read as one. A target
counts as ended if connections to its process were lost during requests and it
answered nothing afterwards; of these requests the ones lost within --within
seconds before the last one are shown. Printed:

- for each target that ended: when, at how many nodes how many requests were
  lost, how many of them had begun to be answered, and the shared prompt parts
  of these, by the number of requests;
- for each part: under how many ended targets it ran, in how many requests, how
  often a request with it was answered, and how often since the first of these
  ends. A part that crashes targets ran under many and is answered no more.

Standard library alone, so it runs on the machine of whoever is on call.
"""
import argparse
import collections
import json
import sys


def read(paths):
    """Yields the structured lines of all files."""
    for path in paths:
        for line in open(path, errors="replace"):
            at = line.find('{"clock"')
            if at < 0:
                continue
            try:
                yield json.loads(line[at:])
            except ValueError:
                continue


def parts_of(row):
    return [part for part in row.get("parts", "").split(",") if part]


def collect(rows):
    """Lost attempts and answers by target process, and answers by part."""
    lost = collections.defaultdict(list)
    answered_at = collections.defaultdict(int)
    answers = collections.defaultdict(list)
    for row in rows:
        if row.get("name") == "attempt_ended" and row.get("lost"):
            lost[row["target"], row.get("incarnation_ms")].append(row)
        elif row.get("name") == "request_done" and "target" in row:
            process = row["target"], row.get("incarnation_ms")
            answered_at[process] = max(answered_at[process], row["time_ms"])
            for part in parts_of(row):
                answers[part].append(row["time_ms"])
    return lost, answered_at, answers


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("log", nargs="+")
    parser.add_argument("--within", type=float, default=0.5)
    parser.add_argument("--top", type=int, default=20)
    args = parser.parse_args()
    lost, answered_at, answers = collect(read(args.log))
    ended = []
    for (target, process), rows in lost.items():
        at = max(row["time_ms"] for row in rows)
        rows = [row for row in rows if at - row["time_ms"] <= args.within * 1000]
        if answered_at[target, process] <= at:
            ended.append((at, target, process, rows))
    ended.sort()
    if not ended:
        sys.exit("no target has ended under a request")
    first = ended[0][0]
    under = collections.defaultdict(set)
    requests = collections.Counter()
    for at, target, process, rows in ended:
        counts = collections.Counter(p for row in rows for p in parts_of(row))
        for part, count in counts.items():
            under[part].add((target, process))
            requests[part] += count
        print(f"{(at - first) / 1000:9.3f} s  {target} ({process})  "
              f"{len({row['node'] for row in rows})} nodes, {len(rows)} requests, "
              f"{sum(row.get('first_byte', False) for row in rows)} begun:  "
              + " ".join(f"{part}x{count}" for part, count in counts.most_common(8)))
    print(f"\n{len(ended)} targets ended\n"
          "part  targets  requests  answered  answered since the first end")
    rank = sorted(under, key=lambda part: -len(under[part]))
    for part in rank[:args.top]:
        since = min(at for at, target, process, _ in ended
                    if (target, process) in under[part])
        print(f"{part}  {len(under[part])}  {requests[part]}  {len(answers[part])}"
              f"  {sum(at > since for at in answers[part])}")


if __name__ == "__main__":
    main()
