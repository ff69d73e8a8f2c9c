"""Stand-ins of the platform's store, the model workers and the clients, for the scripts of review/4 and on.

Everything runs in one asyncio loop and listens on loopback addresses only. The nodes are the project's own
chalkshed-serve, started with the command of deploy/system.toml, each at a loopback address of its own.
"""

import asyncio
import base64
import json
import os
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
START = time.monotonic()


def now():
    return time.monotonic() - START


class Record:
    """Writes what was sent, answered and run, one JSON object a line, to record.txt."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")

    def write(self, what, **fields):
        self.file.write(json.dumps({"s": round(now(), 3), "what": what, **fields}) + "\n")
        self.file.flush()


def free_ports(ips, count):
    """Ports that are free, for TCP and UDP, at each of the addresses."""
    import random

    for _ in range(200):
        first = random.randrange(20000, 30000 - count)
        sockets = []
        try:
            for ip in ips:
                for port in range(first, first + count):
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        s = socket.socket(socket.AF_INET, kind)
                        sockets.append(s)
                        s.bind((ip, port))
            return first
        except OSError:
            pass
        finally:
            for s in sockets:
                s.close()
    raise RuntimeError("no free ports")


async def read_message(reader):
    """Reads one HTTP message. Returns (first line, headers, body) or None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            if size == 0:
                while (await reader.readline()) not in (b"\r\n", b"\n", b""):
                    pass
                break
            body += await reader.readexactly(size)
            await reader.readline()
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return lines[0], headers, body


def response(status, headers, body):
    if isinstance(body, str):
        body = body.encode()
    text = f"HTTP/1.1 {status} X\r\n"
    for name, value in headers.items():
        text += f"{name}: {value}\r\n"
    return (text + f"Content-Length: {len(body)}\r\n\r\n").encode() + body


class Store:
    """The platform's metadata store and its objects, as PROTOCOL.md describes them."""

    def __init__(self, record, answer_ms=4, tx_ms=5, blob_ms=25, history_s=20):
        self.record = record
        self.rows = {}  # (table, part, key) -> (value, ver)
        self.log = []  # (ver, time, key, gone)
        self.ver = 100
        self.floor = 100  # history up to here is gone
        self.blobs = {}
        self.answer_s = answer_ms / 1000
        self.tx_s = tx_ms / 1000
        self.blob_s = blob_ms / 1000
        self.history_s = history_s
        self.changed = asyncio.Condition()
        self.slow = 1  # how many times as long its answers take
        self.fault = None  # callable(ip, method, path, body) -> None | "refuse" | "lose" | "silent" | "hold"
        self.server = None

    async def start(self, ip, port):
        self.address = f"{ip}:{port}"
        self.server = await asyncio.start_server(self.serve, ip, port, limit=1 << 24)

    def stamp(self, fields=None):
        return json.dumps({**(fields or {}), "ver": self.ver, "now_ms": round(now() * 1000 + 5000, 3)})

    def row(self, key):
        value, ver = self.rows.get(key, (None, 0))
        row = {"table": key[0], "part": key[1], "tls_key": key[2], "ver": ver}
        if value is not None:
            row["value"] = value
        return row

    def apply(self, puts, deletes):
        self.ver += 1
        for key, value in puts:
            self.rows[key] = (value, self.ver)
            self.log.append((self.ver, now(), key, False))
        for key in deletes:
            if key in self.rows:
                del self.rows[key]
                self.log.append((self.ver, now(), key, True))
        while self.log and now() - self.log[0][1] > self.history_s:
            self.floor = self.log.pop(0)[0]

    async def notify(self):
        async with self.changed:
            self.changed.notify_all()

    async def write(self, puts, deletes):
        self.apply(puts, deletes)
        await self.notify()

    async def put(self, table, key, value):
        await self.write([((table, "", key), base64.b64encode(json.dumps(value).encode()).decode())], [])

    async def delete(self, table, key):
        await self.write([], [(table, "", key)])

    async def transact(self, body):
        request = json.loads(body)

        def key_of(entry):
            return (entry["table"], entry.get("part", ""), entry["tls_key"])

        await asyncio.sleep(self.tx_s * self.slow)
        for entry in request.get("expect_rev", []):
            if self.rows.get(key_of(entry), (None, 0))[1] != entry["ver"]:
                rows = [self.row(key_of(each)) for each in request["expect_rev"]]
                return 412, self.stamp({"rows": rows})
        puts = [(key_of(entry), entry["value"]) for entry in request.get("put", [])]
        deletes = [key_of(entry) for entry in request.get("delete", [])]
        if puts or deletes:
            self.apply(puts, deletes)
            asyncio.ensure_future(self.notify())
        return 200, self.stamp()

    async def feed(self, table, since, wait_s):
        end = time.monotonic() + wait_s
        while True:
            if since < self.floor:
                return 410, "{}"
            last = {}
            for ver, _, key, gone in self.log:
                if ver > since and key[0] == table:
                    last.pop(key, None)
                    last[key] = (ver, gone)
            if last or time.monotonic() >= end:
                rows = []
                for key, (ver, gone) in sorted(last.items(), key=lambda entry: entry[1][0]):
                    row = self.row(key)
                    if gone:
                        row = {"table": key[0], "part": key[1], "tls_key": key[2], "ver": ver, "is_gone": True}
                    rows.append(row)
                return 200, self.stamp({"rows": rows})
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), max(end - time.monotonic(), 0.001))
                except asyncio.TimeoutError:
                    pass

    async def answer(self, method, path, query, body):
        await asyncio.sleep(self.answer_s * self.slow)
        if path == "/rows-tx":
            return await self.transact(body)
        if path == "/rows-get":
            wanted = (query["table"], query.get("part", ""))
            first, end = query.get("from", ""), query.get("target_version", "")
            keys = sorted(
                (key for key in self.rows if key[:2] == wanted and key[2] >= first and (not end or key[2] < end)),
                key=lambda key: key[2].encode(),
            )
            rows, size = [], 0
            most = min(int(query.get("limit", 500)), 500)
            for key in keys:
                row = self.row(key)
                size += len(row["value"]) + 100
                if len(rows) == most or (rows and size > 1_000_000):
                    break
                rows.append(row)
            return 200, self.stamp({"rows": rows, "has_more": len(rows) < len(keys)})
        if path == "/rows-feed":
            return await self.feed(query["table"], int(query["since_rev"]), int(query.get("wait_ms", 0)) / 1000)
        if path == "/rows-parts":
            parts = sorted({key[1] for key in self.rows if key[0] == query["table"]})
            return 200, self.stamp({"parts": parts, "has_more": False})
        await asyncio.sleep(self.blob_s * self.slow)
        name = path.rsplit("/", 1)[-1]
        if path.startswith("/blob-put/"):
            self.blobs[name] = body
            return 200, "{}"
        if path.startswith("/blob-get/"):
            return (200, self.blobs[name]) if name in self.blobs else (404, "{}")
        if path.startswith("/blob-drop/"):
            self.blobs.pop(name, None)
            return 200, "{}"
        return 404, "{}"

    async def serve(self, reader, writer):
        ip = writer.get_extra_info("peername")[0]
        try:
            while message := await read_message(reader):
                method, target, _ = message[0].split(" ")
                path, _, text = target.partition("?")
                query = dict(urllib.parse.parse_qsl(text, keep_blank_values=True))
                fault = self.fault(ip, method, path, message[2]) if self.fault else None
                if fault == "refuse":
                    writer.write(response(503, {"Content-Type": "application/json"}, "{}"))
                    continue
                if fault == "silent":
                    await asyncio.sleep(3600)
                work = asyncio.ensure_future(self.answer(method, path, query, message[2]))
                status, body = await work
                if fault == "lose":
                    await asyncio.sleep(3600)
                writer.write(response(status, {"Content-Type": "application/json"}, body))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


class Worker:
    """A model worker: streams events, keeps itself in the store. crash() ends it and begins a new incarnation."""

    def __init__(self, store, record, service, ip, port, zone="z1", slots=12, events=40, first_ms=60, gap_ms=20,
                 data=lambda request, n: f"word{n}"):
        self.store, self.record, self.service = store, record, service
        self.ip, self.port, self.zone, self.slots = ip, port, zone, slots
        self.events, self.first_s, self.gap_s, self.data = events, first_ms / 1000, gap_ms / 1000, data
        self.number = 0
        self.on_run = None  # called with (worker, request id, last event) as a run begins
        self.writers = set()
        self.running = {}
        self.tasks = set()

    async def start(self):
        self.number += 1
        self.id = f"w{self.port}-{self.ip.split('.')[-1]}-{self.number}-{os.urandom(3).hex()}"
        self.server = await asyncio.start_server(self.serve, self.ip, self.port, limit=1 << 24)
        self.alive = True
        await self.announce("ready", 1)
        self.beat = asyncio.ensure_future(self.heartbeat())

    async def announce(self, state, seq):
        await self.store.put("servers", self.id, {
            "service": self.service, "address": f"{self.ip}:{self.port}", "zone": self.zone, "version": "v1",
            "slots": self.slots, "state": state, "cold_left_ms": 0, "seq": seq})

    async def heartbeat(self):
        seq = 1
        while True:
            await asyncio.sleep(1.2)
            seq += 1
            await self.announce("ready", seq)

    async def crash(self, back_after):
        """The process ends: its connections are reset, its entry lapses after three heartbeats."""
        self.alive = False
        self.beat.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        old = self.id
        self.record.write("worker crashes", worker=old)

        async def lapse():
            await asyncio.sleep(3 * 1.2)
            await self.store.delete("servers", old)

        asyncio.ensure_future(lapse())
        await asyncio.sleep(back_after)
        await self.start()
        self.record.write("worker is back", worker=self.id)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while message := await read_message(reader):
                if not await self.answer(message, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, message, writer):
        method, target, _ = message[0].split(" ")
        headers = message[1]
        request = headers.get("chalkshed-request-id", "")
        names = {"Chalkshed-Request-Id": request}
        load = {"Chalkshed-Server-Load": f"{len(self.running)},0,{self.slots}"}
        if method == "GET" and target == "/health":
            writer.write(response(200, {"Chalkshed-Instance-Id": self.id, **load}, ""))
            return True
        if headers.get("chalkshed-expect-instance", self.id) != self.id:
            writer.write(response(421, {**names, "Chalkshed-Not-Executed": "1"}, ""))
            return True
        if len(self.running) >= 2 * self.slots:
            writer.write(response(503, {**names, "Chalkshed-Not-Executed": "1"}, ""))
            return True
        me = object()
        last = int(headers.get("last-event-id", 0))
        self.running[me] = request
        mine = self.id
        self.record.write("run begins", worker=mine, request=request, after=last)
        try:
            if self.on_run:
                self.on_run(self, request, last)
            await asyncio.sleep(self.first_s)
            head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
            for name, value in {**names, **load, "Chalkshed-Server-Signature": f"sig.{request}"}.items():
                head += f"{name}: {value}\r\n"
            writer.write((head + "\r\n").encode())
            for n in range(last + 1, self.events + 1):
                if writer.transport.is_closing():
                    raise ConnectionError
                event = f"id: {n}\ndata: {self.data(request, n)}\n\n".encode()
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
                await asyncio.sleep(self.gap_s)
            writer.write(b"0\r\n\r\n")
            await writer.drain()
            self.record.write("run ends whole", worker=mine, request=request)
            return True
        except ConnectionError:
            self.record.write("run is broken off", worker=mine, request=request)
            raise
        finally:
            self.running.pop(me, None)


class Node:
    """A chalkshed-serve process at a loopback address of its own."""

    def __init__(self, record, folder, name, ip, first_port, zone, store, bounds=None):
        self.record, self.name, self.ip = record, name, ip
        self.front, self.ready_port, peers = first_port, first_port + 1, first_port + 4
        self.metrics = first_port + 3
        self.settings = os.path.join(folder, name + ".conf")
        self.log = os.path.join(folder, name + ".log")
        self.process = None
        bounds = {"contact_ms": 3000, "ack_ms": 4000, "drain_ms": 2000, "grace_s": 8, "config_apply_ms": 2000,
                  "cancel_ms": 3000, "settle_ms": 1000, "finish_s": 18, "status_s": 120, "recover_s": 12,
                  "loss_slack_ms": 200, "pass_ms": 120, "quota_overrun": 0.1, **(bounds or {})}
        lines = [f"node={name}", "role=node", "machine_class=front", "serves=front", f"ip={ip}", f"zone={zone}",
                 "region=r1", f"zones.{zone}=r1", f"listen.front={ip}:{self.front}",
                 f"listen.readiness={ip}:{self.ready_port}", f"port_range={peers},{peers + 3}", "bootstrap=true",
                 "in_fault_budget=false", "limits.cpu_share=0.5", "limits.cores=1", "limits.memory_mb=250",
                 "limits.max_fds=8200", "limits.link_mbps=1000.0", "limits.disk_mb=0", "discovery=platform",
                 "entry=vip", "heartbeat_ms=1200",
                 "contracts=base,drain,config,cost,recover,batch,stream,engine,platform",
                 f"provider.address={store}", "provider.form=table", "provider.writes_per_s=800",
                 "provider.reads_per_s=2000", "provider.tx_ms=5.0", "provider.part_writes_per_s=200",
                 "provider.row_bytes=65536", "provider.across=false", "provider.history_s=20",
                 "provider.blob_bytes=8388608", "provider.blob_ms=25.0", "provider.blob_mb_per_s=80.0"]
        lines += [f"bounds.{key}={value}" for key, value in bounds.items()]
        with open(self.settings, "w") as file:
            file.write("\n".join(lines) + "\n")

    async def start(self):
        program = os.path.join(ROOT, "target/bin/chalkshed-serve")
        # The command of deploy/system.toml, with a free port for the metrics.
        self.process = await asyncio.create_subprocess_exec(
            program, f"--metrics-port={self.metrics}", cwd=ROOT, stdin=asyncio.subprocess.DEVNULL,
            stdout=open(self.log, "a"), stderr=asyncio.subprocess.STDOUT,
            env={"PATH": os.environ.get("PATH", ""), "HOME": os.environ.get("HOME", "/"),
                 "CHALKSHED_SETTINGS": self.settings})
        self.record.write("node starts", node=self.name, pid=self.process.pid)

    async def until_ready(self, within=15):
        end = now() + within
        while now() < end:
            try:
                status, _, _ = await call(self.ip, self.ready_port, "GET", "/readiness", {}, timeout=1)
                if status == 200:
                    return
            except (OSError, asyncio.TimeoutError, EOFError):
                pass
            await asyncio.sleep(0.1)
        raise RuntimeError(f"{self.name} isn't ready")

    def send_signal(self, number):
        self.record.write("signal", node=self.name, number=signal.Signals(number).name)
        self.process.send_signal(number)

    async def end(self):
        if self.process and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()


async def call(ip, port, method, target, headers, body=b"", timeout=5):
    """One call on a connection of its own. Raises OSError, EOFError or TimeoutError if there is no whole answer."""

    async def exchange():
        reader, writer = await asyncio.open_connection(ip, port, limit=1 << 24)
        try:
            text = f"{method} {target} HTTP/1.1\r\n"
            fields = {"Host": "h.example", **headers}
            for name, value in fields.items():
                text += f"{name}: {value}\r\n"
            if body or method == "POST":
                text += f"Content-Length: {len(body)}\r\n"
            writer.write((text + "\r\n").encode() + body)
            await writer.drain()
            message = await read_message(reader)
            if message is None:
                raise EOFError("closed without an answer")
            return int(message[0].split(" ")[1]), message[1], message[2]
        finally:
            writer.close()

    return await asyncio.wait_for(exchange(), timeout)


def configuration(version, routes, services):
    return {"version": version, "routes": routes, "services": services,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000,
                       "idle_timeout_ms": 15000}}


BATCH = {"name": "batch", "host": "h.example", "path_prefix": "/batch/", "kind": "batch", "service": "pool",
         "timeout_ms": 25000, "target_ms": 400, "run_target_ms": 20000, "attempts": 3, "retention_s": 60,
         "priority": 2, "sticky": True}
POOL = {"name": "pool", "max_conns": 200, "health_path": "/health", "load_header": True,
        "engine": {"kv_capacity": 147261}}


def job_body(items):
    """items: (id, prompt header, body bytes)"""
    requests = []
    for item, prompt, body in items:
        requests.append({"id": item, "path": "/batch/run", "tokens": 940,
                         "headers": {"Chalkshed-Model": "m", "Chalkshed-Token-Usage": "540,400",
                                     "Chalkshed-Prompt-Prefix": prompt},
                         "body": base64.b64encode(body).decode()})
    return json.dumps({"requests": requests}).encode()


def run(main, folder, trouble):
    """Runs main(record, scratch folder, trouble); exits with its verdict, or with 2 if the case couldn't run."""
    record = Record(folder)
    code = 2
    with tempfile.TemporaryDirectory(prefix="chalkshed-review-") as scratch:
        if os.environ.get("KEEP_LOGS"):
            scratch = os.environ["KEEP_LOGS"]
            os.makedirs(scratch, exist_ok=True)
        try:
            code = asyncio.run(asyncio.wait_for(main(record, scratch, trouble), 115))
        except Exception as problem:  # the case couldn't run
            record.write("couldn't run", reason=repr(problem))
            print("couldn't run:", repr(problem))
    record.write("verdict", code=code)
    print({0: "the rule held", 1: "the rule was broken"}.get(code, "the case couldn't run"))
    sys.stdout.flush()
    os._exit(code)
