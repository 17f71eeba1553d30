# waycove: serving models that span several VMs.
# Copyright 2026 the waycove authors. Licensed under the Apache License,
# Version 2.0; see LICENSE.
"""An owner of a domain is killed and restarted while two of its orders are
still unanswered; see claim.txt. Exits with 1 if rule TWO was broken, 0 if it
held, and 2 if the case couldn't run."""

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
LATE_S = 6.0
ZONE = "north"
SERVICE = "llm"
MODELS = {"m": {"size": 2, "load_s": 1.5, "warm_s": 0.4}}
CONFIG = {
    "version": 1,
    "routes": [{
        "name": "generate", "host": "llm.example", "path_prefix": "/llm/",
        "service": SERVICE, "type": "streaming", "timeout_ms": 8000,
        "goal_ms": 500, "gap_target_ms": 300, "priority": 1,
        "max_attempts": 2, "public": True, "sticky": True}],
    "services": [{
        "name": SERVICE, "max_conns": 200, "health_path": "/health",
        "engine": {
            "loads_per_s": 4, "loads_at_once": 8, "retains": 1, "slots": 8,
            "step_ms": 6.0, "per_seq_ms": 0.2, "read_per_s": 46000,
            "stall_ms": 5000, "usual": {"prompt": 400, "answer": 20},
            "models": [dict(name="m", size=2, share=1.0, pace=1.0,
                            load_s=1.5, warm_s=0.4)]}}],
    "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
               "header_timeout_ms": 5000, "idle_timeout_ms": 30000},
}


class Clients:
    """Sends a stream request every 150 ms to the entries in turn."""

    def __init__(self, entries, record):
        self.entries, self.record = entries, record
        self.stopped = False
        self.counts = {}
        self.lock = threading.Lock()
        threading.Thread(target=self.run, daemon=True).start()

    def run(self):
        number = 0
        while not self.stopped:
            number += 1
            entry = self.entries[number % len(self.entries)]
            threading.Thread(target=self.one, args=(entry, "r%d" % number),
                             daemon=True).start()
            time.sleep(0.15)

    def one(self, entry, request_id):
        self.record("client sends %s to %s" % (request_id, entry.name))
        answer = call(entry, request_id, [
            ("X-Model", "m"), ("X-Token-Count", "400,20"),
            ("X-Prefix-Hash", "aa:40,%s:360" % request_id.replace("r", "b")),
            ("X-Deadline-Ms", "8000")])
        kind = "%d %s" % (answer.status, answer.end)
        self.record("client gets for %s: %s" % (request_id, kind))
        with self.lock:
            self.counts[kind] = self.counts.get(kind, 0) + 1


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
    store.put("keyed.op", "config", json.dumps(CONFIG).encode())
    record("the configuration is in force; TROUBLE=%d" % TROUBLE)
    # Two racks of two groups each.
    for name in ("i-a1", "i-a2", "i-a3", "i-a4"):
        fleet.add(name, "rack-1", ZONE)
    for name in ("i-b1", "i-b2", "i-b3", "i-b4"):
        fleet.add(name, "rack-2", ZONE)

    def make(number):
        entry = Entry(ROOT, folder, "edge-%d" % number, ZONE, store, [], BOUNDS)
        entries.append(entry)
        return entry

    first, second = make(1), make(2)
    for entry in entries:
        entry.seeds = [first.control, second.control]
    for entry in entries:
        entry.start(bootstrap=True)

    def open_groups():
        with fleet.lock:
            return [r for r in fleet.replicas.values()
                    if r.alive and r.rank == 0 and r.state == "open"]

    def settled(count):
        def check():
            with fleet.lock:
                joining = any(r.state == "joining"
                              for r in fleet.replicas.values() if r.alive)
                warm = all(r.loaded for r in fleet.replicas.values() if r.alive)
                loading = any(r.group and r.group.endswith(",load")
                              for r in fleet.replicas.values() if r.alive)
            return len(open_groups()) == count and warm and not joining and not loading
        return check

    if not wait_until(30, settled(4), "four groups open", record):
        return cannot(record, "the groups didn't open")
    record("four groups serve")

    # Planned: one more machine, then one more replica in rack-1.
    third = make(3)
    third.seeds = [first.control, second.control]
    generation = store.generation
    third.start()
    if not wait_until(15, lambda: store.generation > generation and
                      third.is_ready(), "edge-3 takes its share", record):
        return cannot(record, "edge-3 didn't join")
    time.sleep(2.0)
    fleet.add("i-a5", "rack-1", ZONE)
    if not wait_until(20, settled(4), "i-a5 has loaded its weights", record):
        return cannot(record, "i-a5 didn't load")
    record("i-a5 has its weights and is a spare; generation %d" %
           store.generation)
    time.sleep(1.0)

    # Planned: a member of a group in rack-1 leaves.
    with fleet.lock:
        heads = [r for r in open_groups() if r.domain == "rack-1"]
        leaving = fleet.replicas[heads[0].members[1]]
        rack = [r for r in fleet.replicas.values() if r.domain == "rack-1"]
        for replica in rack:
            replica.hold_joins = TROUBLE
            replica.late_s = LATE_S
    clients = Clients([first, second], record)
    time.sleep(1.0)
    orders_before = fleet.orders
    leaving.drain()
    threading.Timer(6.0, leaving.end).start()

    if TROUBLE:
        if not wait_until(10, lambda: fleet.late >= 2, "two orders", record):
            return cannot(record, "no group was ordered anew")
        for replica in rack:
            replica.hold_joins = False
        time.sleep(0.3)
        owner = max(entries, key=lambda entry: len(
            entry.log_lines('"leave"', heads[0].name)))
        record("%s, which gave these orders, is killed" % owner.name)
        owner.kill()
        time.sleep(0.5)
        owner.start()
        record("%s is started again" % owner.name)
    time.sleep(12.0)
    record("orders since the replica drained: %d, of these %d late" % (
        fleet.orders - orders_before, fleet.late))
    clients.stopped = True
    time.sleep(2.0)
    record("what clients got: %s" % clients.counts)
    record("groups that serve: %s" % sorted(
        "%s %s" % (r.name, r.group) for r in open_groups()))
    if record.breaches:
        print("rule broken: " + record.breaches[0])
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
