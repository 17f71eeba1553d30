# waycove: serving models that span several VMs.
# Copyright 2026 the waycove authors. Licensed under the Apache License,
# Version 2.0; see LICENSE.
"""The operator takes a model out of the configuration while a group of it is
open; see claim.txt. Exits with 1 if rule LOST was broken, 0 if it held, and 2
if the case couldn't run."""

import json
import os
import shutil
import signal
import sys
import tempfile
import threading
import time
import traceback

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(HERE))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib"))

from standins import (BOUNDS, Entry, Fleet, Record, Store, call,  # noqa: E402
                      wait_until)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONE = "north"
SERVICE = "llm"
MODELS = {"m0": {"size": 2, "load_s": 1.5, "warm_s": 0.4},
          "m1": {"size": 2, "load_s": 1.5, "warm_s": 0.4}}
# config_apply_ms after the acknowledgement, and one second.
PLANNED_S = 2.0 + 1.0


def configuration(version, models, timeout_ms):
    return json.dumps({
        "version": version,
        "routes": [{
            "name": "generate", "host": "llm.example", "path_prefix": "/llm/",
            "service": SERVICE, "type": "streaming", "timeout_ms": timeout_ms,
            "goal_ms": 500, "gap_target_ms": 300, "priority": 1,
            "max_attempts": 2, "public": True, "sticky": True}],
        "services": [{
            "name": SERVICE, "max_conns": 200, "health_path": "/health",
            "engine": {
                "loads_per_s": 4, "loads_at_once": 8, "retains": 1, "slots": 8,
                "step_ms": 6.0, "per_seq_ms": 0.2, "read_per_s": 46000,
                "stall_ms": 5000, "usual": {"prompt": 400, "answer": 20},
                "models": [dict(name=name, size=2, share=0.5, pace=1.0,
                                load_s=1.5, warm_s=0.4) for name in models]}}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                   "header_timeout_ms": 5000, "idle_timeout_ms": 30000},
    }).encode()


class Clients:
    """Asks for a stream of model m0, which stays, every 100 ms; keeps when each
    was sent, to which entry, and how it ended."""

    def __init__(self, entries, record):
        self.entries, self.record = entries, record
        self.stopped = False
        self.ends = []
        self.lock = threading.Lock()
        threading.Thread(target=self.run, daemon=True).start()

    def run(self):
        number = 0
        while not self.stopped:
            number += 1
            entry = self.entries[number % len(self.entries)]
            threading.Thread(target=self.one, args=(entry, "r%d" % number),
                             daemon=True).start()
            time.sleep(0.1)

    def one(self, entry, request_id):
        sent = time.monotonic()
        self.record("client sends %s to %s" % (request_id, entry.name))
        answer = call(entry, request_id, [
            ("X-Model", "m0"), ("X-Token-Count", "400,20"),
            ("X-Prefix-Hash", "aa:40,%s:360" % request_id.replace("r", "b")),
            ("X-Deadline-Ms", "8000")])
        self.record("client gets for %s: %d %s" % (
            request_id, answer.status, answer.end))
        with self.lock:
            self.ends.append((sent, time.monotonic(), request_id, entry,
                              answer))


class Platform(threading.Thread):
    """Starts a process again after a short delay, as the platform does."""

    def __init__(self, entries, record):
        super().__init__(daemon=True)
        self.entries, self.record = entries, record
        self.ended = []
        self.stopped = False
        self.start()

    def run(self):
        while not self.stopped:
            for entry in self.entries:
                code = entry.process.poll()
                if code is not None and not self.stopped:
                    self.record("%s has ended by itself, code %d" % (
                        entry.name, code))
                    self.ended.append(entry.name)
                    time.sleep(0.5)
                    entry.start()
            time.sleep(0.02)


def main():
    record = Record(os.path.join(HERE, "record.txt"))
    folder = tempfile.mkdtemp(prefix="waycove-review-")
    entries = []
    try:
        return run(record, folder, entries)
    finally:
        for entry in entries:
            entry.stop()
        if os.environ.get("KEEP"):
            print("logs:", folder)
        else:
            shutil.rmtree(folder, ignore_errors=True)


def cannot(record, why):
    record("the case couldn't run: " + why)
    return 2


def run(record, folder, entries):
    store = Store(record)
    fleet = Fleet(store, record, MODELS, SERVICE)
    store.put("keyed.op", "config", configuration(1, ["m0", "m1"], 8000))
    record("version 1 is in force; TROUBLE=%d" % TROUBLE)
    for name in ("i-a1", "i-a2", "i-a3", "i-a4"):
        fleet.add(name, "rack-1", ZONE)
    for number in (1, 2, 3):
        entries.append(Entry(ROOT, folder, "edge-%d" % number, ZONE, store, [],
                             BOUNDS))
    for entry in entries:
        entry.seeds = [other.control for other in entries]
        entry.start(bootstrap=True)

    def open_models():
        with fleet.lock:
            return sorted(r.group.split(",")[0]
                          for r in fleet.replicas.values()
                          if r.alive and r.rank == 0 and r.state == "open")

    if not wait_until(30, lambda: open_models() == ["m0", "m1"],
                      "a group of each model opens", record):
        return cannot(record, "the groups didn't open")
    if not wait_until(10, lambda: all(e.is_ready() for e in entries),
                      "all entries are ready", record):
        return cannot(record, "an entry isn't ready")
    platform = Platform(entries, record)
    clients = Clients(entries, record)
    time.sleep(6.0)
    if platform.ended:
        return cannot(record, "an entry ended before the change")

    # The store takes version 2: without TROUBLE it only changes a time-out.
    # The operator sees what comes of it and puts version 3 in its place, which
    # is as version 1 was. Both are planned work until PLANNED_S after their
    # acknowledgement, which is at once.
    begin = time.monotonic() - 6.0
    sent_at = time.monotonic()
    models = ["m0"] if TROUBLE else ["m0", "m1"]
    store.put("keyed.op", "config", configuration(2, models, 7500))
    record("version 2 is sent and acknowledged: models %s" % models)
    time.sleep(PLANNED_S)
    store.put("keyed.op", "config", configuration(3, ["m0", "m1"], 8000))
    record("version 3 is sent and acknowledged: models m0, m1")
    planned_until = time.monotonic() + PLANNED_S
    time.sleep(PLANNED_S + 9.0)
    clients.stopped = True
    time.sleep(2.5)
    end = time.monotonic()
    platform.stopped = True

    def is_lost(row):
        """Rule LOST with its excuses: the process had read the request and
        passed it on, the connection ended without a whole answer, the replica
        didn't break off, and it had not used seven tenths of its time (so
        neither its deadline nor the route's time-out was reached)."""
        sent, ended, request_id, _, answer = row
        return (not answer.whole and request_id in fleet.ran
                and request_id not in fleet.broken_off
                and ended - sent < 0.7 * 7.5)

    with clients.lock:
        lost = [row for row in clients.ends if is_lost(row)]
    planned_s = planned_until - sent_at
    other_s = (end - begin) - planned_s
    broken = 0
    for entry in entries:
        own = [row for row in lost if row[3] is entry]
        then = [row for row in own if sent_at <= row[1] < planned_until]
        other = len(own) - len(then)
        record("%s: ended by itself %d times; cut off %d in %.1f s of planned "
               "work, %d in the %.1f s of other times, before and after" % (
                   entry.name, platform.ended.count(entry.name), len(then),
                   planned_s, other, other_s))
        # More than three times as often as at other times, at this machine.
        if len(then) / planned_s > 3 * other / other_s:
            broken += len(then)
            for row in then:
                record("LOST: %s at %s after %.2f s: %s" % (
                    row[2], entry.name, row[1] - row[0], row[4].end))
    if broken:
        print("rule broken: LOST %d times, %d processes ended by themselves" % (
            broken, len(platform.ended)))
        return 1
    print("rule held")
    return 0


if __name__ == "__main__":
    # A time-out ends the case as any other end does: with its processes.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    code = 2
    try:
        code = main()
    except SystemExit:
        pass
    except Exception:  # The case couldn't run.
        traceback.print_exc()
    sys.stdout.flush()
    os._exit(code)
