#!/usr/bin/env python3
"""Measures real daemons on loopback, for docs/CAPACITY.md.

  tools/measure.py BUILD peers     control bytes and CPU a daemon, idle
  tools/measure.py BUILD groups    the same against groups
  tools/measure.py BUILD churn     the same under changes of configuration
  tools/measure.py BUILD streams   memory and CPU of open streams
  tools/measure.py BUILD claims    keyed calls a second and their appends
  tools/measure.py BUILD fair      a greedy workspace beside modest callers
  tools/measure.py BUILD retries   a tenth of the groups resets every request

Every run is bounded and ends by itself; only loopback is used."""
import asyncio
import hashlib
import json
import pathlib
import subprocess
import sys
import tempfile
import time
import urllib.request

BASE = 21000
TICK = 100.0  # clock ticks a second


class Run:
    """Daemons, platform and targets of one measurement."""

    def __init__(self, build, nodes, centres, groups, token_ms=10, extra="",
                 slots=4096):
        self.dir = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self.dir.name)
        self.build = pathlib.Path(build)
        self.nodes = nodes
        self.processes = []
        try:
            self.begin(nodes, centres, groups, token_ms, extra, slots)
        except BaseException:
            self.stop()
            raise

    def begin(self, nodes, centres, groups, token_ms, extra, slots):
        names = [f"c{i}" for i in range(centres)]
        rows = []
        port = BASE + 2000
        per = groups // centres
        for centre in names:
            for g in range(per):
                for v in range(4):
                    rows.append(f"- {{id: {centre}-g{g}-{v}, data_centre: "
                                f"{centre}, domain: {centre}-d{g}, host: "
                                f"127.0.0.1, port: {port}, "
                                f"labels: {{role: engine}}}}")
                    port += 1
        rows.append(f"- {{id: svc, data_centre: c0, domain: s, host: "
                    f"127.0.0.1, port: {port}, labels: {{role: ledger}}}}")
        vms = self.folder / "vms.yaml"
        vms.write_text("\n".join(rows) + "\n")
        self.start("tests/standin-platform", f"--listen=127.0.0.1:{BASE}",
                   f"--vms={vms}")
        self.start("tests/standin-target", f"--vms={vms}",
                   f"--token_ms={token_ms}", "--load_ms=100")
        digest = hashlib.sha1(b"waycove:op").hexdigest()
        seeds = ", ".join(f"127.0.0.1:{BASE + 1000 + i}"
                          for i in range(min(nodes, 4)))
        self.daemons = []
        for i in range(nodes):
            file = self.folder / f"n{i}.yaml"
            file.write_text(
                f"node: n{i}\ndata_centre: {names[i % centres]}\n"
                f"http: 127.0.0.1:{BASE + 1 + i}\n"
                f"peer_listen: 127.0.0.1:{BASE + 1000 + i}\n"
                f"platform: 127.0.0.1:{BASE}\npeers: [{seeds}]\n"
                f"operator_key_digest: {digest}\nlog_level: error\n{extra}\n")
            self.daemons.append(self.start("waycoved", f"--settings={file}"))
        for i in range(nodes):
            self.until(lambda i=i: self.get(i, "/readyz")[0] == 200)
        replicas = ", ".join(f"{c}: {per}" for c in names)
        self.apply("workspace", "w", "{key_digest: "
                   + hashlib.sha1(b"waycove:k").hexdigest() + "}")
        self.apply("service", "ledger",
                   "{match: {role: [ledger]}, workspaces: {}}")
        self.apply("deployment", "model",
                   "{model: m, version: v, vms_per_replica: 4, "
                   f"slots_per_replica: {slots}, match: {{role: [engine]}}, "
                   f"replicas: {{{replicas}}}, workspaces: {{}}}}")
        self.until(lambda: self.serving() >= per)

    def start(self, name, *flags):
        log = open(self.folder / "log", "ab")
        process = subprocess.Popen([str(self.build / name), *flags],
                                   stdout=log, stderr=log)
        self.processes.append(process)
        return process

    def stop(self):
        for process in self.processes:
            process.kill()
        for process in self.processes:
            process.wait()
        self.dir.cleanup()

    @staticmethod
    def until(condition, seconds=90):
        end = time.time() + seconds
        while time.time() < end:
            try:
                if condition():
                    return
            except OSError:
                pass
            time.sleep(0.1)
        raise SystemExit("measure: a condition did not come about")

    def get(self, node, path, body=None, headers=None):
        request = urllib.request.Request(
            f"http://127.0.0.1:{BASE + 1 + node}{path}", data=body,
            headers=headers or {"Authorization": "Bearer op"})
        try:
            with urllib.request.urlopen(request, timeout=20) as answer:
                return answer.status, answer.read().decode()
        except urllib.error.HTTPError as error:
            return error.code, error.read().decode()

    def apply(self, kind, name, spec):
        body = json.dumps({"kind": kind, "name": name, "base": 0, "body":
                           f"kind: {kind}\nname: {name}\nspec: {spec}"})
        status, text = self.get(0, "/operator/v1/apply", body.encode())
        assert status == 200, text

    def serving(self):
        groups = json.loads(self.get(0, "/operator/v1/status")[1])["groups"]
        return sum(1 for group in groups if group.get("serves"))

    def counters(self, node):
        rows = {}
        for line in self.get(node, "/metrics")[1].splitlines():
            if line.startswith("waycove_") and "{" not in line:
                name, value = line.split()
                rows[name[8:]] = float(value)
        return rows

    def cpu(self, process):
        text = pathlib.Path(f"/proc/{process.pid}/stat").read_text()
        fields = text.rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / TICK

    @staticmethod
    def memory(process):
        for line in pathlib.Path(
                f"/proc/{process.pid}/status").read_text().splitlines():
            if line.startswith("VmRSS"):
                return int(line.split()[1]) / 1024.0
        return 0.0

    def idle(self, seconds):
        """Mean control bytes a second and CPU of all daemons."""
        kinds = ["peer_bytes_in", "peer_bytes_out", "health_bytes_in",
                 "health_bytes_out", "platform_bytes_in",
                 "platform_bytes_out"]
        before = [self.counters(i) for i in range(self.nodes)]
        cpu = [self.cpu(p) for p in self.daemons]
        began = time.time()
        time.sleep(seconds)
        took = time.time() - began
        used = [(self.cpu(p) - c) / took for p, c in zip(self.daemons, cpu)]
        after = [self.counters(i) for i in range(self.nodes)]
        mean = {k: sum(a[k + "_total"] - b[k + "_total"]
                       for a, b in zip(after, before)) / took / self.nodes
                for k in kinds}
        return mean, sum(used) / len(used), self.memory(self.daemons[0])


def show_idle(build, cases):
    print("nodes centres groups  peer in/out B/s  health in/out B/s  "
          "platform in/out B/s  CPU %  MB")
    for nodes, centres, groups in cases:
        run = Run(build, nodes, centres, groups)
        try:
            time.sleep(3)
            m, cpu, memory = run.idle(12)
            print(f"{nodes:5} {centres:7} {groups:6}  "
                  f"{m['peer_bytes_in']:7.0f}/{m['peer_bytes_out']:<7.0f}  "
                  f"{m['health_bytes_in']:8.0f}/{m['health_bytes_out']:<8.0f}  "
                  f"{m['platform_bytes_in']:9.0f}/"
                  f"{m['platform_bytes_out']:<9.0f}  "
                  f"{100 * cpu:5.2f}  {memory:3.0f}", flush=True)
        finally:
            run.stop()


def show_churn(build):
    import threading
    print("changes/s  peer in/out B/s  platform in/out B/s  CPU %")
    for pause in (0, 1.0, 0.2):
        run = Run(build, 16, 2, 4)
        try:
            time.sleep(3)
            stop = threading.Event()
            made = [0]

            def change():
                while pause and not stop.is_set():
                    run.apply("selector", f"s{made[0]}",
                              "{match: {tier: [gold]}}")
                    made[0] += 1
                    stop.wait(pause)

            worker = threading.Thread(target=change)
            worker.start()
            m, cpu, _ = run.idle(10)
            stop.set()
            worker.join()
            print(f"{made[0] / 10:9.1f}  {m['peer_bytes_in']:7.0f}/"
                  f"{m['peer_bytes_out']:<7.0f}  "
                  f"{m['platform_bytes_in']:9.0f}/"
                  f"{m['platform_bytes_out']:<9.0f}  {100 * cpu:5.2f}",
                  flush=True)
        finally:
            run.stop()


async def stream(node, tokens, counts):
    reader, writer = await asyncio.open_connection("127.0.0.1",
                                                   BASE + 1 + node)
    body = json.dumps({"prompt": "p", "max_tokens": tokens, "stream": True})
    writer.write((f"POST /v1/models/model/generate HTTP/1.1\r\nHost: x\r\n"
                  f"Authorization: Bearer k\r\nX-Waycove-Deadline-Ms: 120000"
                  f"\r\nContent-Length: {len(body)}\r\n\r\n{body}").encode())
    data = b""
    while True:
        part = await reader.read(65536)
        if not part:
            break
        counts[0] += part.count(b'"index"')
        data = (data + part)[-200:]
    writer.close()
    counts[1] += 1 if b"event: done" in data else 0


async def many(count, tokens, counts, probe):
    tasks = [asyncio.create_task(stream(0, tokens, counts))
             for _ in range(count)]
    await asyncio.sleep(4)
    await asyncio.get_running_loop().run_in_executor(None, probe)
    await asyncio.gather(*tasks)


def show_streams(build):
    print("streams  whole  MB over idle  KB/stream  tokens/s  CPU us/token")
    for count in (100, 500, 1500):
        run = Run(build, 1, 1, 8, token_ms=100)
        try:
            daemon = run.daemons[0]
            idle = run.memory(daemon)
            counts = [0, 0]
            figures = {}

            def probe():
                figures["memory"] = run.memory(daemon)
                cpu, tokens, began = run.cpu(daemon), counts[0], time.time()
                time.sleep(5)
                figures["tokens"] = counts[0] - tokens
                figures["cpu"] = run.cpu(daemon) - cpu
                figures["took"] = time.time() - began

            asyncio.run(many(count, 150, counts, probe))
            grown = figures["memory"] - idle
            print(f"{count:7} {counts[1]:6} {grown:13.1f} "
                  f"{1024 * grown / count:10.1f} "
                  f"{figures['tokens'] / figures['took']:9.0f} "
                  f"{1e6 * figures['cpu'] / max(figures['tokens'], 1):13.1f}",
                  flush=True)
        finally:
            run.stop()


def show_claims(build):
    import concurrent.futures
    print("callers  keyed calls/s  appends/s  claims/append")
    for callers in (1, 8, 32):
        run = Run(build, 2, 1, 2)
        try:
            before = run.counters(0)
            end = time.time() + 5

            def work(number):
                done = 0
                while time.time() < end:
                    key = f"{int(time.time() * 1000)}-{number}-{done}"
                    status, _ = run.get(
                        0, "/v1/services/ledger/sale", b"x",
                        {"Authorization": "Bearer k",
                         "Idempotency-Key": key})
                    done += status == 200
                return done

            with concurrent.futures.ThreadPoolExecutor(callers) as pool:
                calls = sum(pool.map(work, range(callers)))
            appends = (run.counters(0)["appends_sent_total"]
                       - before["appends_sent_total"])
            print(f"{callers:7} {calls / 5:13.0f} {appends / 5:10.0f} "
                  f"{calls / max(appends, 1):14.1f}", flush=True)
        finally:
            run.stop()


def ask(run, key, tokens, deadline_ms=8000):
    began = time.time()
    body = json.dumps({"prompt": "p", "max_tokens": tokens}).encode()
    status, _ = run.get(0, "/v1/models/model/generate", body,
                        {"Authorization": f"Bearer {key}",
                         "X-Waycove-Session": str(time.time()),
                         "X-Waycove-Deadline-Ms": str(deadline_ms)})
    return status, time.time() - began


def show_fair(build):
    import concurrent.futures
    print("workspaces          modest: whole  p95 s   greedy: whole  refused")
    for apart in (False, True):
        run = Run(build, 1, 1, 1, token_ms=10, slots=4)
        try:
            run.apply("workspace", "greedy", "{key_digest: "
                      + hashlib.sha1(b"waycove:g").hexdigest() + "}")
            end = time.time() + 12

            def caller(key, tokens):
                rows = []
                while time.time() < end:
                    rows.append(ask(run, key, tokens))
                    if rows[-1][0] != 200:
                        time.sleep(0.2)
                return rows

            with concurrent.futures.ThreadPoolExecutor(64) as pool:
                greedy = [pool.submit(caller, "g" if apart else "k", 60)
                          for _ in range(40)]
                modest = [pool.submit(caller, "k", 15) for _ in range(3)]
                modest = [row for f in modest for row in f.result()]
                greedy = [row for f in greedy for row in f.result()]
            whole = sum(1 for status, _ in modest if status == 200)
            times = sorted(took for _, took in modest)
            good = sum(1 for status, _ in greedy if status == 200)
            print(f"{'apart (fair queue)' if apart else 'one (first come)':19}"
                  f"{whole:7}/{len(modest):<6} "
                  f"{times[int(0.95 * (len(times) - 1))]:6.2f} "
                  f"{good:15} {len(greedy) - good:8}", flush=True)
        finally:
            run.stop()


def show_retries(build):
    run = Run(build, 1, 1, 10, token_ms=1)
    try:
        groups = json.loads(run.get(0, "/operator/v1/status")[1])["groups"]
        head = groups[0]["vms"][0]
        rows = (run.folder / "vms.yaml").read_text().splitlines()
        port = next(row.split("port: ")[1].split(",")[0] for row in rows
                    if f"id: {head}," in row)
        urllib.request.urlopen(f"http://127.0.0.1:{port}/faults",
                               b'{"generate":"reset"}', timeout=5).read()
        before = run.counters(0)
        good = sum(ask(run, "k", 3)[0] == 200 for _ in range(600))
        after = run.counters(0)
        attempts = after["attempts_total"] - before["attempts_total"]
        print(f"600 requests, one of 10 groups resets: {good} whole, "
              f"{attempts / 600:.3f} attempts a request")
    finally:
        run.stop()


def main():
    build, what = sys.argv[1], sys.argv[2]
    if what == "peers":
        show_idle(build, [(4, 2, 4), (8, 2, 4), (16, 2, 4), (32, 2, 4)])
    elif what == "groups":
        show_idle(build, [(4, 1, 4), (4, 1, 16), (4, 1, 48)])
    elif what == "churn":
        show_churn(build)
    elif what == "streams":
        show_streams(build)
    elif what == "fair":
        show_fair(build)
    elif what == "retries":
        show_retries(build)
    elif what == "claims":
        show_claims(build)
    else:
        raise SystemExit(__doc__)


if __name__ == "__main__":
    main()
