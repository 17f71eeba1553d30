# waycove: serving models that span several VMs.
# Copyright 2026 the waycove authors. Licensed under the Apache License,
# Version 2.0; see LICENSE.
"""Stand-ins of the platform's store, of model replicas and of clients, for the
scripts of the review. They follow PROTOCOL.md of the users' pages. All of them
run as threads of one process and listen on loopback addresses only."""

import base64
import json
import os
import re
import signal
import socket
import struct
import subprocess
import tempfile
import threading
import time


def free_port(host="127.0.0.1"):
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


class Record:
    """record.txt: what was sent, answered and run, with seconds since start."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.lock = threading.Lock()
        self.begin = time.monotonic()
        self.breaches = []

    def __call__(self, text):
        with self.lock:
            self.file.write("%8.3f %s\n" % (time.monotonic() - self.begin, text))
            self.file.flush()

    def breach(self, text):
        self.breaches.append(text)
        self("BREACH " + text)


class Request:
    def __init__(self, method, target, headers, body):
        self.method, self.target = method, target
        self.headers, self.body = headers, body
        path, _, query = target.partition("?")
        self.path = path
        self.query = dict(
            part.partition("=")[::2] for part in query.split("&") if part)

    def get(self, name, default=""):
        return self.headers.get(name.lower(), default)


class Closed(Exception):
    pass


class Connection:
    """One accepted connection; reads requests and writes answers."""

    def __init__(self, sock):
        self.sock = sock
        self.buffer = b""
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def fill(self):
        data = self.sock.recv(65536)
        if not data:
            raise Closed()
        self.buffer += data

    def read_request(self):
        while b"\r\n\r\n" not in self.buffer:
            self.fill()
        head, _, self.buffer = self.buffer.partition(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        method, target, _ = lines[0].split(" ", 2)
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        length = int(headers.get("content-length", "0"))
        while len(self.buffer) < length:
            self.fill()
        body, self.buffer = self.buffer[:length], self.buffer[length:]
        return Request(method, target, headers, body)

    def answer(self, status, body=b"", headers=()):
        if isinstance(body, (dict, list)):
            body = json.dumps(body).encode()
        lines = ["HTTP/1.1 %d Status" % status]
        lines += ["%s: %s" % pair for pair in headers]
        lines += ["Content-Length: %d" % len(body), "", ""]
        self.sock.sendall("\r\n".join(lines).encode() + body)

    def reset(self):
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                             struct.pack("ii", 1, 0))
        self.sock.close()


class Server:
    """Accepts connections; a thread serves each of them."""

    def __init__(self, handle, host="127.0.0.1", port=0):
        self.handle = handle
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind((host, port))
        self.listener.listen(512)
        self.host, self.port = self.listener.getsockname()
        self.open = set()
        threading.Thread(target=self.accept, daemon=True).start()

    @property
    def address(self):
        return "%s:%d" % (self.host, self.port)

    def accept(self):
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.serve, args=(sock,), daemon=True).start()

    def serve(self, sock):
        connection = Connection(sock)
        self.open.add(connection)
        try:
            while self.handle(connection, connection.read_request()):
                pass
        except (Closed, OSError, ValueError):
            pass
        finally:
            self.open.discard(connection)
            try:
                sock.close()
            except OSError:
                pass

    def stop(self):
        """Ends as a crashed process does: every connection is reset."""
        self.listener.close()
        for connection in list(self.open):
            try:
                connection.reset()
            except OSError:
                pass


class Store:
    """The platform's store: keyed topics, and a group of members among which
    partitions are dealt."""

    def __init__(self, record, parts=12):
        self.record = record
        self.parts = parts
        self.changed = threading.Condition()
        self.topics = {}
        self.members = {}
        self.generation = 0
        self.dealt = {}    # partition -> member it is to go to
        self.held = {}     # partition -> member that holds it
        self.server = Server(self.handle)

    # -- keyed topics --

    def put(self, topic, key, value):
        with self.changed:
            self.topics.setdefault(topic, []).append((key, value))
            self.changed.notify_all()

    def newest(self, topic):
        records = self.topics.get(topic, [])
        newest = {}
        for offset, (key, value) in enumerate(records):
            newest[key] = (value, offset)
        items = [{"key": key, "value": base64.b64encode(value).decode(),
                  "offset": offset}
                 for key, (value, offset) in sorted(newest.items()) if value]
        return {"items": items, "has_more": False, "end_offset": len(records)}

    def read(self, query):
        topic, start = query["topic"], int(query["from"])
        until = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        with self.changed:
            records = self.topics.setdefault(topic, [])
            while len(records) <= start:
                left = until - time.monotonic()
                if left <= 0:
                    break
                self.changed.wait(left)
            count = int(query.get("max_size", "1024"))
            out = struct.pack(">QQ", len(records), 0)
            for key, value in records[start:start + count]:
                row = bytes([len(key)]) + key.encode() + value
                out += struct.pack(">I", len(row)) + row
            return out

    def append(self, topic, body):
        while body:
            (length,) = struct.unpack(">I", body[:4])
            row, body = body[4:4 + length], body[4 + length:]
            key = row[1:1 + row[0]].decode()
            self.put(topic, key, row[1 + row[0]:])

    # -- members and partitions --

    def deal(self):
        """Deals the partitions evenly among the members; a partition moves on
        once its holder has heard of that."""
        self.generation += 1
        names = sorted(self.members)
        self.dealt = {}
        for part in range(self.parts):
            if names:
                self.dealt[part] = names[part % len(names)]
        for part in range(self.parts):
            if self.held.get(part) not in self.members:
                self.held[part] = self.dealt.get(part)

    def expire(self):
        now = time.monotonic()
        gone = [name for name, until in self.members.items() if until < now]
        for name in gone:
            del self.members[name]
            self.record("store: member %s was silent for its time" % name)
        if gone:
            self.deal()

    def join(self, body):
        member, heard = body["member"], body.get("generation", 0)
        with self.changed:
            self.expire()
            new = member not in self.members
            self.members[member] = time.monotonic() + body["ttl_ms"] / 1000
            if new:
                self.deal()
            for part, holder in list(self.held.items()):
                if (holder == member and self.dealt[part] != member
                        and heard >= self.generation):
                    self.held[part] = self.dealt[part]
            rows = [[body["topics"][0], part, 0] for part in range(self.parts)
                    if self.held[part] == member and self.dealt[part] == member]
            if new:
                self.record("store: %s joins, generation %d, parts %s" % (
                    member, self.generation, [row[1] for row in rows]))
            return {"generation": self.generation, "parts": rows}

    def leave(self, body):
        with self.changed:
            if self.members.pop(body["member"], None) is not None:
                self.deal()
                self.record("store: %s leaves, generation %d" % (
                    body["member"], self.generation))

    def handle(self, connection, request):
        if request.path == "/api/log-newest":
            with self.changed:
                page = self.newest(request.query["topic"])
            connection.answer(200, page)
        elif request.path == "/api/log-read":
            connection.answer(200, self.read(request.query))
        elif request.path == "/api/log-append":
            self.append(request.query["topic"], request.body)
            connection.answer(200, {"offset": 0, "end_offset": 0})
        elif request.path == "/api/log-join":
            connection.answer(200, self.join(json.loads(request.body)))
        elif request.path == "/api/log-leave":
            self.leave(json.loads(request.body))
            connection.answer(200, {})
        else:
            connection.answer(404, {})
        return True


class Fleet:
    """All replicas of a deployment, and what the rules on groups ask of them."""

    def __init__(self, store, record, models, service):
        self.store, self.record = store, record
        self.models, self.service = models, service
        self.lock = threading.RLock()
        self.replicas = {}
        self.stall_s = 5.0
        self.orders = 0
        self.late = 0
        self.ran = set()
        self.broken_off = set()

    def add(self, name, domain, zone):
        replica = Replica(self, name, domain, zone)
        self.replicas[name] = replica
        return replica

    def head_of(self, replica):
        """The head of the replica's group, if it lives and is still in it."""
        if not replica.group:
            return None
        head = self.replicas.get(replica.members[0])
        if (head and head.alive and head.group == replica.group
                and head.epoch == replica.epoch):
            return head
        return None

    def is_whole(self, head):
        """Whether every member is still in the head's group."""
        for name in head.members:
            member = self.replicas.get(name)
            if not (member and member.alive and member.group == head.group
                    and member.epoch == head.epoch
                    and member.members == head.members):
                return False
        return True


class Replica:
    def __init__(self, fleet, name, domain, zone):
        self.fleet, self.name = fleet, name
        self.domain, self.zone = domain, zone
        self.alive = True
        self.draining = False
        self.group, self.epoch, self.rank = None, 0, 0
        self.members, self.state = [], None
        self.loaded, self.last_model = None, None
        self.staged = []
        self.sequence = 0
        self.seen_epoch = 0
        self.seen_joins = {}
        self.fence = 0
        self.late_until = 0
        self.late_s = 0
        self.hold_joins = False
        self.held = []
        self.ready_as = set()
        self.active = 0
        self.beat = 0
        self.server = Server(self.handle)
        self.publish()
        threading.Thread(target=self.heart, daemon=True).start()

    # -- what it says of itself --

    def membership(self):
        if not self.group:
            return None
        return {"name": self.group, "epoch": self.epoch, "rank": self.rank,
                "state": self.state}

    def entry(self):
        out = {"service": self.fleet.service, "address": self.server.address,
               "zone": self.zone, "version": "v1", "slots": 8,
               "state": "draining" if self.draining else "ready",
               "cold_left_ms": 0, "sequence": self.beat,
               "domain": self.domain, "staged": list(self.staged),
               "models": ([{"name": self.loaded, "version": 1, "adapters": []}]
                          if self.loaded else [])}
        if self.group:
            out["group"] = self.membership()
        return out

    def publish(self):
        if not self.alive:
            return
        self.beat += 1
        self.fleet.store.put("keyed.servers", self.name,
                             json.dumps(self.entry()).encode())

    def heart(self):
        while self.alive:
            time.sleep(1.2)
            with self.fleet.lock:
                self.publish()

    # -- orders --

    def handle(self, connection, request):
        if request.path == "/api/order":
            return self.order(connection, request)
        if request.path == "/api/report":
            with self.fleet.lock:
                out = {"phase": "unified", "utilization": False,
                       "models": [], "sequence": self.sequence, "queued": 0,
                       "active": 0, "kv_used": 0, "kv_total": 1,
                       "handles": 0, "domain": self.domain,
                       "staged": list(self.staged)}
                if self.group:
                    out["group"] = self.membership()
            connection.answer(200, out)
            return True
        return self.call(connection, request)

    def order(self, connection, request):
        if request.get("x-expect-replica", self.name) != self.name:
            connection.answer(421)
            return True
        body = json.loads(request.body)
        text = "%s %s epoch %s members %s token %s" % (
            body["op"], body.get("group", body.get("model")),
            body.get("epoch", "-"), body.get("members", "-"),
            body.get("fencing_token"))
        self.fleet.orders += 1
        if self.hold_joins and body["op"] == "join":
            self.fleet.late += 1
            self.fleet.record("order at %s: %s: no answer, carried out in %.1f s"
                              % (self.name, text, self.late_s))
            self.held.append(time.monotonic())
            timer = threading.Timer(self.late_s, self.carry_out_late,
                                    (body, text))
            timer.daemon = True
            timer.start()
            # The connection says nothing further.
            while True:
                connection.fill()
        with self.fleet.lock:
            status = self.apply(body)
        self.fleet.record("order at %s: %s -> %d" % (self.name, text, status))
        connection.answer(status, {})
        return True

    def carry_out_late(self, body, text):
        with self.fleet.lock:
            if not self.alive:
                return
            status = self.apply(body)
        self.fleet.record("late order at %s: %s -> %d" % (self.name, text, status))

    def apply(self, body):
        token = body.get("fencing_token", 0)
        if token < self.fence:
            return 412
        self.fence = token
        op = body["op"]
        if op == "join":
            return self.join(body)
        if op == "phase":
            self.sequence += 1
            self.load(body["model"], None)
            return 202
        if (self.group, self.epoch) != (body["group"], body["epoch"]):
            return 409
        if op == "leave":
            self.sequence += 1
            self.set_group(None, 0, 0, [], None)
            return 202
        if op == "open":
            if self.rank != 0:
                return 409
            if self.state == "open":
                return 200
            if self.state != "ready":
                return 409
            self.sequence += 1
            self.state = "open"
            self.check_open()
            self.publish()
            return 202
        if op == "close":
            if self.state == "ready":
                return 200
            if self.state != "open":
                return 409
            self.sequence += 1
            self.state = "closing"
            self.publish()
            self.end_closing()
            return 202
        return 400

    def end_closing(self):
        if self.state == "closing" and self.active == 0:
            self.state = "ready"
            self.publish()

    def join(self, body):
        group, epoch, members = body["group"], body["epoch"], body["members"]
        if epoch < self.seen_epoch:
            return 412
        if self.seen_joins.get((group, epoch), members) != members:
            return 412
        if (self.group, self.epoch) == (group, epoch):
            return 200
        self.check_taken(group, epoch)
        self.seen_epoch = epoch
        self.seen_joins[(group, epoch)] = members
        self.sequence += 1
        self.set_group(group, epoch, members.index(self.name), members,
                       "joining")
        self.load(body["model"], (group, epoch))
        return 202

    def check_taken(self, group, epoch):
        """Rule TWO."""
        head = self.fleet.head_of(self)
        if head and head.state in ("open", "closing"):
            self.fleet.record.breach(
                "TWO: %s takes a join of %s (epoch %d) while %s, the head of its "
                "group %s (epoch %d), is %s" % (
                    self.name, group, epoch, head.name, self.group, self.epoch,
                    head.state))

    def check_open(self):
        """What rule PARTIAL asks for: the size, and that every member was ready
        under the same name, epoch and list."""
        size = self.fleet.models[self.group.split(",")[0]]["size"]
        if len(self.members) != size:
            self.fleet.record("%s opens %s with %d members instead of %d" % (
                self.name, self.group, len(self.members), size))
        for name in self.members:
            member = self.fleet.replicas[name]
            key = (self.group, self.epoch, tuple(self.members))
            if key not in member.ready_as:
                self.fleet.record("%s opens %s but %s was never ready in it" % (
                    self.name, self.group, name))

    def set_group(self, group, epoch, rank, members, state):
        self.group, self.epoch, self.rank = group, epoch, rank
        self.members, self.state = list(members), state
        self.publish()

    def load(self, model, key):
        spec = self.fleet.models[model]
        if key and self.last_model == model:
            wait = 0.2
        elif model in self.staged:
            wait = spec["warm_s"]
        else:
            wait = spec["load_s"]
        timer = threading.Timer(wait, self.loaded_now, (model, key))
        timer.daemon = True
        timer.start()

    def loaded_now(self, model, key):
        with self.fleet.lock:
            if not self.alive:
                return
            self.staged = [model]
            if key and (self.group, self.epoch) == key:
                self.last_model = self.loaded = model
                self.state = "ready"
                self.ready_as.add((self.group, self.epoch, tuple(self.members)))
            self.publish()

    # -- requests --

    def call(self, connection, request):
        who = request.get("x-request-id")
        headers = [("X-Request-Id", who)]
        if request.get("x-expect-replica", self.name) != self.name:
            connection.answer(421, b"", headers)
            return True
        with self.fleet.lock:
            takes = (self.group and self.rank == 0 and self.state == "open")
            self.active += 1 if takes else 0
        if not takes:
            connection.answer(421, b"", headers + [("X-Not-Executed", "1")])
            return True
        try:
            return self.stream(connection, who, headers)
        finally:
            with self.fleet.lock:
                self.active -= 1
                self.end_closing()

    def stream(self, connection, who, headers):
        headers += [("X-Replica-Seal", "seal." + self.name),
                    ("Content-Type", "text/event-stream"),
                    ("Transfer-Encoding", "chunked")]
        self.fleet.ran.add(who)
        self.fleet.record("%s runs %s in %s" % (self.name, who, self.group))
        connection.sock.sendall(("HTTP/1.1 200 OK\r\n" + "".join(
            "%s: %s\r\n" % pair for pair in headers) + "\r\n").encode())
        group = (self.group, self.epoch)
        for event in range(1, 21):
            time.sleep(0.05)
            stood_since = None
            while True:
                with self.fleet.lock:
                    inside = (self.group, self.epoch) == group
                    whole = inside and self.fleet.is_whole(self)
                if not inside:
                    self.fleet.broken_off.add(who)
                    self.fleet.record("%s cuts %s off: it is no longer in %s" % (
                        self.name, who, group[0]))
                    connection.reset()
                    return False
                if whole:
                    break
                stood_since = stood_since or time.monotonic()
                if time.monotonic() - stood_since > self.fleet.stall_s:
                    with self.fleet.lock:
                        if (self.group, self.epoch) == group:
                            self.state = "broken"
                            self.publish()
                    self.fleet.broken_off.add(who)
                    connection.reset()
                    return False
                time.sleep(0.05)
            text = b"id: %d\ndata: token %d\n\n" % (event, event)
            connection.sock.sendall(b"%x\r\n%s\r\n" % (len(text), text))
        connection.sock.sendall(b"0\r\n\r\n")
        return True

    def crash(self):
        with self.fleet.lock:
            self.alive = False
        self.fleet.record("%s crashes" % self.name)
        self.server.stop()

    def end(self):
        """The planned end of a replica that drained: its entry goes."""
        with self.fleet.lock:
            self.alive = False
            self.fleet.store.put("keyed.servers", self.name, b"")
        self.fleet.record("%s has drained and ends" % self.name)
        self.server.stop()

    def drain(self):
        with self.fleet.lock:
            self.draining = True
            self.fleet.record("%s says that it is draining" % self.name)
            self.publish()


class Entry:
    """One waycoved, started with the command of the deploy file and settings
    filled in as its template says."""

    def __init__(self, root, folder, name, zone, store, seeds, bounds, host="127.0.0.1"):
        self.root, self.folder, self.name = root, folder, name
        self.zone, self.store = zone, store
        self.ports = [free_port(host) for _ in range(3)]
        self.host = host
        self.seeds, self.bounds = seeds, bounds
        self.process = None
        self.starts = 0

    @property
    def control(self):
        return "%s:%d" % (self.host, self.ports[2])

    def settings(self, bootstrap):
        lines = [
            'node: "%s"' % self.name,
            'data_centre: "%s"' % self.zone,
            "http: %s:%d" % (self.host, self.ports[0]),
            "peer_listen: %s" % self.control,
            "platform: %s" % self.store.server.address,
            "entry:",
            "  ready: %s:%d" % (self.host, self.ports[1]),
        ]
        if bootstrap:
            lines.append("  first_start: true")
        lines += ["  %s: %s" % pair for pair in self.bounds.items()]
        lines.append("  seeds: [%s]" % ", ".join(
            '"%s"' % seed for seed in self.seeds))
        lines += ["  regions:", '    "%s": "home"' % self.zone]
        return "\n".join(lines) + "\n"

    def log_path(self):
        return os.path.join(self.folder, self.name + ".log")

    def start(self, bootstrap=False):
        path = os.path.join(self.folder, self.name + ".yaml")
        with open(path, "w") as file:
            file.write(self.settings(bootstrap))
        self.starts += 1
        with open(self.log_path(), "ab") as log:
            self.process = subprocess.Popen(
                ["target/waycoved", "--settings=" + path], cwd=self.root,
                stdout=log, stderr=subprocess.STDOUT,
                stdin=subprocess.DEVNULL)

    def kill(self):
        self.process.kill()
        self.process.wait()

    def stop(self):
        if self.process and self.process.poll() is None:
            self.kill()

    def is_ready(self):
        try:
            with socket.create_connection((self.host, self.ports[1]), 0.5) as sock:
                sock.sendall(b"GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                return b" 200 " in sock.recv(200)
        except OSError:
            return False

    def log_lines(self, *words):
        try:
            with open(self.log_path(), errors="replace") as log:
                return [line for line in log
                        if all(word in line for word in words)]
        except FileNotFoundError:
            return []


class Answer:
    def __init__(self):
        self.status, self.headers, self.body = 0, {}, b""
        self.whole = False
        self.end = ""


def call(entry, request_id, headers, body=b"{}", path="/llm/generate",
         host="llm.example", timeout=10.0, method="POST"):
    """One attempt of a client on a new connection."""
    answer = Answer()
    lines = ["%s %s HTTP/1.1" % (method, path), "Host: " + host,
             "X-Request-Id: " + request_id,
             "Content-Length: %d" % len(body)]
    lines += ["%s: %s" % pair for pair in headers]
    data = b""
    try:
        with socket.create_connection((entry.host, entry.ports[0]), 1.0) as sock:
            sock.settimeout(timeout)
            sock.sendall("\r\n".join(lines + ["", ""]).encode() + body)
            while b"\r\n\r\n" not in data:
                more = sock.recv(65536)
                if not more:
                    answer.end = "closed without an answer"
                    return answer
                data += more
            head, _, data = data.partition(b"\r\n\r\n")
            rows = head.decode("latin-1").split("\r\n")
            answer.status = int(rows[0].split(" ")[1])
            for row in rows[1:]:
                name, _, value = row.partition(":")
                answer.headers[name.strip().lower()] = value.strip()
            if answer.headers.get("transfer-encoding") == "chunked":
                while True:
                    while b"\r\n" not in data:
                        more = sock.recv(65536)
                        if not more:
                            answer.end = "cut off"
                            return answer
                        data += more
                    size, _, data = data.partition(b"\r\n")
                    size = int(size, 16)
                    while len(data) < size + 2:
                        more = sock.recv(65536)
                        if not more:
                            answer.end = "cut off"
                            return answer
                        data += more
                    answer.body += data[:size]
                    data = data[size + 2:]
                    if size == 0:
                        break
            else:
                length = int(answer.headers.get("content-length", "0"))
                while len(data) < length:
                    more = sock.recv(65536)
                    if not more:
                        answer.end = "cut off"
                        return answer
                    data += more
                answer.body = data
            answer.whole = True
            answer.end = "whole"
    except OSError as error:
        answer.end = type(error).__name__
    return answer


def wait_until(seconds, condition, what, record):
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        if condition():
            return True
        time.sleep(0.05)
    record("gave up waiting: " + what)
    return False


BOUNDS = {
    "revoke_bound_ms": 5000, "revoke_fail_closed": "true",
    "drain_bound_ms": 2000, "config_bound_ms": 2000, "grace_s": 8,
    "retry_ratio": 0.2, "retry_slack": 136, "retry_window_s": 10,
    "lease_least_ms": 1000, "target_heartbeat_ms": 1200, "work_parts": 12,
    "memory_mb": 260, "link_mbps": 1000,
}
