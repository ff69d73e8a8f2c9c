"""Stand-ins of the platform's store, the model workers and the clients, for the scripts beside them.

All of them run in this one process and speak what PROTOCOL.md of the users' pages says; the nodes
(chalkshed-serve) are processes of their own, each on a loopback address of its own.
"""
import asyncio
import base64
import ctypes
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(HERE)
HEARTBEAT_S = 1.2
DRAIN_MS = 2000
FINISH_S = 18.0
CONTACT_S = 3.0


class CannotRun(Exception):
    pass


def say(text):
    """Prints the text; the verdict doesn't depend on whether somebody reads it."""
    try:
        print(text, flush=True)
    except OSError:
        pass


def end_with_parent():
    """A node must not outlive the script, however that ends."""
    PR_SET_PDEATHSIG = 1
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class Record:
    """record.txt: what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.begin = time.monotonic()

    def now(self):
        return time.monotonic() - self.begin

    def __call__(self, text):
        self.file.write("%8.3f  %s\n" % (self.now(), text))
        self.file.flush()


# ---------------------------------------------------------------- HTTP/1.1, as little as is needed

async def read_head(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in head[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return head[0], headers


async def read_body(reader, headers):
    if "chunked" in headers.get("transfer-encoding", "").lower():
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            if size == 0:
                await reader.readline()
                return body
            body += await reader.readexactly(size)
            await reader.readexactly(2)
    return await reader.readexactly(int(headers.get("content-length", "0")))


def plain_answer(status, headers, body):
    lines = ["HTTP/1.1 %d X" % status] + ["%s: %s" % pair for pair in headers]
    lines.append("Content-Length: %d" % len(body))
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def call(address, method, target, headers=(), body=b"", timeout=10.0):
    """One request on a new connection. Returns (status, headers, body); status 0: no whole answer."""
    writer = None
    try:
        host, port = address
        reader, writer = await asyncio.wait_for(asyncio.open_connection(host, port), 1.0)
        lines = ["%s %s HTTP/1.1" % (method, target), "Connection: close"]
        lines += ["%s: %s" % pair for pair in headers]
        if body or method == "POST":
            lines.append("Content-Length: %d" % len(body))
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)

        async def answer():
            first, fields = await read_head(reader)
            return int(first.split()[1]), fields, await read_body(reader, fields)

        return await asyncio.wait_for(answer(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError, IndexError) as why:
        return 0, {}, repr(why).encode()
    finally:
        if writer is not None:
            writer.close()


# ---------------------------------------------------------------- the platform's store

class Store:
    """Rows and objects. `lose(transaction)` may return how many seconds late a write is done whose
    answer is lost; None: it is done and answered at once."""

    def __init__(self, record):
        self.record = record
        self.rows = {}  # (table, part, key) -> (value, ver)
        self.changes = []  # (ver, table, part, key, value or None)
        self.version = 0
        self.objects = {}
        self.changed = asyncio.Condition()
        self.lose = lambda transaction: None
        self.writes = self.lost = 0
        self.server = None

    async def start(self, address):
        self.address = address
        self.server = await asyncio.start_server(self.serve, address[0], address[1], limit=1 << 22)

    def stamp(self, answer):
        answer["ver"] = self.version
        answer["now_ms"] = time.monotonic() * 1000.0
        return answer

    def row(self, key):
        value, version = self.rows.get(key, (None, 0))
        answer = {"table": key[0], "part": key[1], "tls_key": key[2], "ver": version}
        if value is not None:
            answer["value"] = value
        return answer

    async def write(self, puts, deletes):
        self.version += 1
        for key, value in puts:
            self.rows[key] = (value, self.version)
            self.changes.append((self.version,) + key + (value,))
        for key in deletes:
            if self.rows.pop(key, None) is not None:
                self.changes.append((self.version,) + key + (None,))
        async with self.changed:
            self.changed.notify_all()

    async def put(self, table, key, fields):
        await self.write([((table, "", key), base64.b64encode(json.dumps(fields).encode()).decode())], [])

    async def remove(self, table, key):
        await self.write([], [(table, "", key)])

    async def transact(self, transaction):
        entry_key = lambda entry: (entry["table"], entry.get("part", ""), entry["tls_key"])
        expected = [(entry_key(entry), entry["ver"]) for entry in transaction.get("expect_rev", [])]
        if any(self.rows.get(key, (None, 0))[1] != version for key, version in expected):
            return 412, self.stamp({"rows": [self.row(key) for key, _ in expected]})
        await self.write([(entry_key(entry), entry["value"]) for entry in transaction.get("put", [])],
                         [entry_key(entry) for entry in transaction.get("delete", [])])
        return 200, self.stamp({})

    async def do_late(self, transaction, late):
        await asyncio.sleep(late)
        status, _ = await self.transact(transaction)
        self.record("store: does the write whose answer was lost %.1f s ago: %s %d" %
                    (late, self.name_of(transaction), status))

    @staticmethod
    def name_of(transaction):
        return ",".join(entry["table"] + "/" + entry["tls_key"] for entry in transaction.get("put", []))

    def get(self, query):
        table, part = query["table"], query.get("part", "")
        first, end = query.get("from", ""), query.get("target_version")
        limit = min(int(query.get("limit", 500)), 500)
        keys = sorted(key for key in self.rows if key[0] == table and key[1] == part and
                      key[2] >= first and (not end or key[2] < end))
        return self.stamp({"rows": [self.row(key) for key in keys[:limit]], "has_more": len(keys) > limit})

    async def feed(self, query):
        table, since = query["table"], int(query.get("since_rev", 0))
        until = time.monotonic() + int(query.get("wait_ms", 0)) / 1000.0
        while True:
            latest = {}
            for version, of, part, key, value in self.changes:
                if of == table and version > since:
                    latest.pop((part, key), None)
                    latest[(part, key)] = (version, value)
            left = until - time.monotonic()
            if latest or left <= 0:
                break
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        rows = []
        for (part, key), (version, value) in latest.items():
            row = {"table": table, "part": part, "tls_key": key, "ver": version}
            row.update({"is_gone": True} if value is None else {"value": value})
            rows.append(row)
        return self.stamp({"rows": rows})

    async def serve(self, reader, writer):
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, target, _ = first.split(" ")
                path, _, query = target.partition("?")
                fields = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
                status, answer = 200, b"{}"
                await asyncio.sleep(0.004)
                if path == "/rows-tx":
                    transaction = json.loads(body)
                    late = self.lose(transaction)
                    self.writes += 1
                    self.lost += late is not None
                    if late is not None:
                        self.record("store: the answer to a write is lost: " + self.name_of(transaction))
                        asyncio.ensure_future(self.do_late(transaction, late))
                        await reader.read()  # this connection says nothing any more
                        return
                    status, fields = await self.transact(transaction)
                    answer = json.dumps(fields).encode()
                elif path == "/rows-get":
                    answer = json.dumps(self.get(fields)).encode()
                elif path == "/rows-feed":
                    answer = json.dumps(await self.feed(fields)).encode()
                elif path.startswith("/blob-put/"):
                    self.objects[path[10:]] = body
                elif path.startswith("/blob-get/"):
                    status, answer = (200, self.objects[path[10:]]) if path[10:] in self.objects else (404, b"{}")
                elif path.startswith("/blob-drop/"):
                    self.objects.pop(path[11:], None)
                else:
                    status = 404
                writer.write(plain_answer(status, [("Content-Type", "application/json")], answer))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError, asyncio.LimitOverrunError):
            pass
        finally:
            writer.close()


# ---------------------------------------------------------------- a model worker

class Worker:
    """Streams `events(request)` numbered events, one each `gap_s`; a request on a path that ends in
    /plain is answered whole after `plain_s`. Drops a request once its connection closes."""

    def __init__(self, record, store, service, address, zone, slots=8, gap_s=0.05, events=60, plain_s=0.3):
        self.record, self.store, self.service = record, store, service
        self.address, self.zone, self.slots = address, zone, slots
        self.gap_s, self.events, self.plain_s = gap_s, events, plain_s
        self.id = "i-%08x" % random.getrandbits(32)
        self.running = {}
        self.runs = []  # dicts: id, path, begun, ended, how, from_event
        self.writers = set()
        self.alive = True
        self.beats = True

    def entry(self, seq):
        return {"service": self.service, "address": "%s:%d" % self.address, "zone": self.zone,
                "version": "v1", "slots": self.slots, "state": "ready", "cold_left_ms": 0, "seq": seq}

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.address[0], self.address[1], limit=1 << 22)
        await self.store.put("servers", self.id, self.entry(1))
        self.record("worker %s (%s) is listed at %s:%d" % ((self.id, self.service) + self.address))

    async def leave_silently(self, serves_s):
        """Its entry goes, without a word of draining; it serves on for serves_s, then ends."""
        await self.store.remove("servers", self.id)
        gone = self.record.now()
        self.record("worker %s: its entry is gone (acknowledged by the store)" % self.id)
        asyncio.get_running_loop().call_later(serves_s, lambda: self.end("ends as planned"))
        return gone

    async def crash_for_good(self):
        """Ends at once; the store drops the entry after three heartbeats without a write."""
        self.end("crashes for good")
        await asyncio.sleep(3 * HEARTBEAT_S)
        await self.store.remove("servers", self.id)
        self.record("worker %s: its entry is gone after three heartbeats" % self.id)

    def end(self, how):
        if not self.alive:
            return
        self.alive = False
        self.record("worker %s %s" % (self.id, how))
        self.server.close()
        for run in self.running.values():
            run["how"] = "lost with its worker"
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while self.alive:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, target, _ = first.split(" ")
                if not await self.answer(reader, writer, method, target, headers, body):
                    return
        except (asyncio.IncompleteReadError, ConnectionError, ValueError, asyncio.LimitOverrunError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, reader, writer, method, target, headers, body):
        if target == "/health":
            writer.write(plain_answer(200, [("Chalkshed-Instance-Id", self.id)], b""))
            return True
        request = headers.get("chalkshed-request-id", "")
        echo = [("Chalkshed-Request-Id", request), ("Connection", "close")]
        if headers.get("chalkshed-expect-instance", self.id) != self.id:
            self.record("worker %s: %s gets 421" % (self.id, request))
            writer.write(plain_answer(421, echo, b""))
            return False
        if len(self.running) >= self.slots:
            writer.write(plain_answer(503, echo + [("Chalkshed-Not-Executed", "1")], b""))
            return False
        after = int(headers.get("last-event-id", "0"))
        run = {"id": request, "path": target, "begun": self.record.now(), "ended": None, "how": "",
               "after": after, "last": after, "worker": self.id}
        self.runs.append(run)
        key = id(run)
        self.running[key] = run
        self.record("worker %s runs %s after event %d" % (self.id, request, after))
        closed = asyncio.ensure_future(reader.read(1))
        try:
            echo += [("Chalkshed-Server-Signature", "sig-" + request),
                     ("Chalkshed-Server-Load", "%d,0,%d" % (len(self.running), self.slots))]
            if target.endswith("/plain"):
                done, _ = await asyncio.wait({closed}, timeout=self.plain_s)
                if done or not self.alive:
                    run["how"] = run["how"] or "closed by its sender"
                    return False
                writer.write(plain_answer(200, echo, b"text of " + request.encode()))
                run["how"] = "whole"
                return False
            lines = ["HTTP/1.1 200 X", "Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
            lines += ["%s: %s" % pair for pair in echo]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
            for number in range(after + 1, self.events + 1):
                done, _ = await asyncio.wait({closed}, timeout=self.gap_s)
                if done or not self.alive:
                    run["how"] = run["how"] or "closed by its sender"
                    return False
                event = ("id: %d\ndata: %s.%d\n\n" % (number, request, number)).encode()
                writer.write(b"%x\r\n" % len(event) + event + b"\r\n")
                run["last"] = number
            writer.write(b"0\r\n\r\n")
            run["how"] = "whole"
            return False
        finally:
            closed.cancel()
            self.running.pop(key, None)
            run["ended"] = self.record.now()
            self.record("worker %s: the run of %s ends after event %d: %s" %
                        (self.id, request, run["last"], run["how"]))


# ---------------------------------------------------------------- the nodes, and the whole

class Fleet:
    def __init__(self, folder, zones):
        self.folder = folder
        self.record = Record(folder)
        self.temporary = tempfile.mkdtemp(prefix="chalkshed-review-")
        self.zones = zones
        self.network = self.free_network(len(zones))
        self.program = self.find_program()
        self.store = Store(self.record)
        self.workers = []
        self.processes = {}
        self.log_files = []

    @staticmethod
    def find_program():
        for path in ("target/bin/chalkshed-serve", "build/bin/chalkshed-serve"):
            if os.access(os.path.join(ROOT, path), os.X_OK):
                return path
        raise CannotRun("build it first: the build command of deploy/system.toml")

    @staticmethod
    def free_network(nodes):
        for _ in range(50):
            network = "127.%d.%d" % (random.randint(20, 250), random.randint(1, 250))
            try:
                for node in range(1, nodes + 1):
                    for port in (8144, 8140, 7660, 9464):
                        with socket.socket() as probe:
                            probe.bind(("%s.%d" % (network, node), port))
                with socket.socket() as probe:
                    probe.bind((network + ".200", 8142))
                return network
            except OSError:
                continue
        raise CannotRun("no free loopback addresses")

    def ip(self, node):
        return "%s.%d" % (self.network, node + 1)

    def front(self, node):
        return (self.ip(node), 8144)

    def settings(self, node):
        names = sorted(set(self.zones))
        lines = ["node=front-%d" % (node + 1), "role=node", "machine_class=front", "serves=front",
                 "ip=" + self.ip(node), "zone=" + self.zones[node], "region=r"]
        lines += ["zones.%s=r" % name for name in names]
        lines += ["listen.front=%s:8144" % self.ip(node), "listen.readiness=%s:8140" % self.ip(node),
                  "port_range=7660,7675", "bootstrap=true", "limits.cpu_share=0.5", "limits.cores=1",
                  "limits.memory_mb=250", "limits.max_fds=8200", "limits.link_mbps=1000.0",
                  "discovery=platform", "entry=vip", "heartbeat_ms=1200",
                  "contracts=base,drain,config,cost,recover,batch,stream,engine,platform",
                  "bounds.seed_lag_s=3", "bounds.reuse_delay_s=2", "bounds.contact_ms=3000",
                  "bounds.ack_ms=4000", "bounds.catch_up_s=4.7", "bounds.drain_ms=2000", "bounds.grace_s=8",
                  "bounds.loss_slack_ms=200", "bounds.config_apply_ms=2000", "bounds.rollback_slack_ms=250",
                  "bounds.max_skew_ms=5000", "bounds.recover_s=12", "bounds.pass_ms=120",
                  "bounds.retry_after_s=0", "bounds.finish_s=18", "bounds.status_s=120",
                  "bounds.cancel_ms=3000", "bounds.settle_ms=1000", "bounds.quota_overrun=0.1",
                  "provider.address=%s.200:8142" % self.network, "provider.form=table",
                  "provider.writes_per_s=800", "provider.reads_per_s=2000", "provider.tx_ms=5.0",
                  "provider.part_writes_per_s=200", "provider.row_bytes=65536", "provider.across=false",
                  "provider.history_s=20", "provider.blob_bytes=8388608", "provider.blob_ms=25.0",
                  "provider.blob_mb_per_s=80.0"]
        return "\n".join(lines) + "\n"

    async def start_store(self, configuration):
        await self.store.start((self.network + ".200", 8142))
        await self.store.put("op", "config", configuration)
        self.record("operator: configuration %d" % configuration["version"])

    async def add_worker(self, service, zone, **options):
        address = ("%s.%d" % (self.network, 100 + len(self.workers)), 8200)
        worker = Worker(self.record, self.store, service, address, zone, **options)
        await worker.start()
        self.workers.append(worker)
        return worker

    def start_node(self, node):
        path = os.path.join(self.temporary, "node-%d.conf" % node)
        with open(path, "w", encoding="utf-8") as file:
            file.write(self.settings(node))
        log = open(os.path.join(self.temporary, "node-%d.log" % node), "ab")
        self.log_files.append(log)
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["CHALKSHED_SETTINGS"] = path
        command = [self.program, "--metrics-port=9464"]  # `run` of deploy/system.toml
        self.processes[node] = subprocess.Popen(command, cwd=ROOT, env=environment, stdout=log, stderr=log,
                                                stdin=subprocess.DEVNULL, preexec_fn=end_with_parent)
        self.record("node front-%d is started" % (node + 1))

    def kill_node(self, node):
        process = self.processes.pop(node)
        process.send_signal(signal.SIGKILL)
        process.wait()
        self.record("node front-%d is killed" % (node + 1))

    async def wait_ready(self, node, timeout=10.0):
        until = time.monotonic() + timeout
        while time.monotonic() < until:
            if self.processes[node].poll() is not None:
                break
            status, _, _ = await call((self.ip(node), 8140), "GET", "/readiness", timeout=1.0)
            if status == 200:
                return
            await asyncio.sleep(0.1)
        raise CannotRun("front-%d did not become ready" % (node + 1))

    def close(self):
        for process in self.processes.values():
            process.send_signal(signal.SIGKILL)
        for process in self.processes.values():
            process.wait()
        for log in self.log_files:
            log.close()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.temporary, keep, dirs_exist_ok=True)
        shutil.rmtree(self.temporary, ignore_errors=True)


def batch_route(name, host, prefix, service, run_target_ms=20000):
    return {"name": name, "host": host, "path_prefix": prefix, "kind": "batch", "timeout_ms": 25000,
            "target_ms": 400, "run_target_ms": run_target_ms, "retention_s": 60, "priority": 2,
            "attempts": 3, "service": service, "resumable": True, "gap_target_ms": 500, "sticky": True}


def service(name):
    return {"name": name, "health_path": "/health", "max_conns": 200, "protocol": "h1", "tls": False,
            "engine": {"slots": 8, "kv_capacity": 147261, "models": [{"name": "m"}]}}


LIMITS = {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
          "idle_timeout_ms": 15000}


class Job:
    """A batch job and what its client saw."""

    def __init__(self, fleet, host, prefix, items, shared_part=""):
        self.fleet, self.host, self.prefix, self.shared_part = fleet, host, prefix, shared_part
        self.id = "%016x" % random.getrandbits(64)
        self.items = ["%016x" % random.getrandbits(64) for _ in range(items)]
        self.results = {}
        self.accepted = None

    async def submit(self, node):
        requests = [{"id": item, "path": "%s3/%04x" % (self.prefix, index),
                     "headers": {"Chalkshed-Model": "m", "Chalkshed-Token-Usage": "540,400",
                                 "Chalkshed-Prompt-Prefix": self.shared_part + "%s:240" % item[:8]},
                     "body": base64.b64encode(os.urandom(600)).decode(), "tokens": 940}
                    for index, item in enumerate(self.items)]
        body = json.dumps({"requests": requests}).encode()
        self.fleet.record("client: batch job %s (%d items, %s) to front-%d" %
                          (self.id, len(self.items), self.prefix, node + 1))
        status, _, _ = await call(self.fleet.front(node), "POST", self.prefix + "7c41e0",
                                  [("Host", self.host), ("Chalkshed-Request-Id", self.id),
                                   ("Content-Type", "application/json")], body, timeout=4.0)
        self.fleet.record("client: batch job %s is answered %d" % (self.id, status))
        if status == 202:
            self.accepted = self.fleet.record.now()
        return status

    async def read(self, node):
        status, _, body = await call(self.fleet.front(node), "GET",
                                     "/lots/%s?since_rev=%d" % (self.id, len(self.results)),
                                     [("Host", self.host), ("Chalkshed-Wait-Ms", "1000")], timeout=2.5)
        if status != 200:
            self.fleet.record("client: read of %s at front-%d: %d" % (self.id, node + 1, status))
            return
        for result in json.loads(body)["results"]:
            self.results[result["id"]] = (result["state"], result["message"])
            self.fleet.record("client: %s lists %s as %s (%d of %d)" %
                              (self.id, result["id"], result["state"], len(self.results), len(self.items)))

    async def follow(self, until):
        node = 0
        while self.fleet.record.now() < until and len(self.results) < len(self.items):
            await self.read(node % len(self.fleet.zones))
            node += 1
            await asyncio.sleep(0.5)

    def unlisted(self):
        return [item for item in self.items if item not in self.results]


def lost_items(jobs, workers, now):
    """The items that break LOST as RULES.md and NEWS-23.md have it, once finish_s is over and after 5 s of
    calm: neither completed nor errored, though no worker had an unlisted item of that batch job in the last
    5 s, its workers were under half full meanwhile, no item of any batch job was finished in the last 3 s,
    and the item did not fail at a worker in the last 20 s. A run that its sender ended within a second
    counts neither as had nor as failed. All given workers are those of the batch jobs. `now` is when finish_s
    was over; called a little later, so that it is known how the runs of that moment have ended."""

    def short(run):
        return run["how"] == "closed by its sender" and run["ended"] - run["begun"] <= 1.0

    runs = [run for worker in workers for run in worker.runs if run["begun"] <= now]
    listed = {item for job in jobs for item in job.results}
    slots = sum(worker.slots for worker in workers if worker.alive)
    moments = [now - 5.0 + 0.05 * step for step in range(100)]
    most = max(sum(run["begun"] <= moment and (run["ended"] is None or run["ended"] > moment) for run in runs)
               for moment in moments)
    finished = any(run["how"] == "whole" and now - 3.0 < run["ended"] <= now for run in runs)
    if 2 * most >= slots or finished:
        return [], most, slots
    broken = []
    for job in jobs:
        had = any(run["id"] in job.items and run["id"] not in listed and
                  (run["ended"] is None or run["ended"] > now - 5.0) and not short(run) for run in runs)
        for item in [] if had else job.unlisted():
            failed = any(run["id"] == item and run["ended"] is not None and run["ended"] > now - 20.0 and
                         run["how"] != "whole" and not short(run) for run in runs)
            if not failed:
                broken.append("LOST item %s of batch job %s is neither completed nor errored when finish_s is over" %
                              (item, job.id))
    return broken, most, slots


def main(folder, play):
    """Runs `play(fleet, trouble)`, which returns the list of breaches of the rule. Exits with 1 if
    there are any, 0 if there are none, 2 if the case could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        fleet = None
        def stop():
            if fleet is not None:
                fleet.close()
            os._exit(2)

        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, stop)
        try:
            fleet = play.fleet(folder)
            breaches = await asyncio.wait_for(play.play(fleet, trouble), 115.0)
            for line in breaches:
                fleet.record("BROKEN " + line)
                say("BROKEN " + line)
            if not breaches:
                fleet.record("the rule held")
                say("the rule held")
            return 1 if breaches else 0
        except Exception as why:  # a fault of the script is no broken rule
            say("could not run: %r" % why)
            return 2
        finally:
            if fleet is not None:
                fleet.close()

    loop = asyncio.new_event_loop()
    os._exit(loop.run_until_complete(run()))
