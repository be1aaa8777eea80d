"""A small site on loopback for the scripts of this folder: the platform's store,
workers and consumers as stand-ins in this process, and the project's own
gateways and keepers as separate processes.

Only Python's standard library is used. All stand-ins follow PROTOCOL.md.
"""

import asyncio
import base64
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), ".."))
GATEWAY = os.path.join("target", "release", "limpetferry-gateway")
KEEPER = os.path.join("target", "release", "limpetferry-keeper")
HOST = "agents.example"
HEARTBEAT_S = 1.2


class CannotRun(Exception):
    """The case could not be run; no verdict."""


class Record:
    """Writes the record: one line for each thing sent, answered, run or done."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def line(self, text):
        line = f"{time.monotonic() - self.start:8.3f} {text}"
        print(line, file=self.file, flush=True)

    def close(self):
        self.file.close()


def free_ports(count):
    """Returns free ports on 127.0.0.1, all different."""
    sockets = []
    for _ in range(count):
        one = socket.socket()
        one.bind(("127.0.0.1", 0))
        sockets.append(one)
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


async def read_head(reader):
    """Reads a request's or an answer's head; None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    """Reads a body with a length or in chunks."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            piece = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += piece[:-2]
    return await reader.readexactly(int(headers.get("content-length", "0")))


class Store:
    """The platform's store."""

    def __init__(self, record):
        self.record = record
        self.revision = 0
        self.items = {}
        self.history = []
        self.changed = asyncio.Event()

    async def start(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.server = server
        self.port = server.sockets[0].getsockname()[1]

    def write(self, key, value):
        """Writes a key as the operator or a worker does; None removes it."""
        self.revision += 1
        if value is None:
            self.items.pop(key, None)
            event = {"Key": key, "Revision": self.revision, "Tombstone": True}
        else:
            created = self.items[key]["Created"] if key in self.items else self.revision
            event = {
                "Key": key,
                "Value": base64.b64encode(value).decode(),
                "Revision": self.revision,
                "Created": created,
                "Lease": 0,
            }
            self.items[key] = event
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()
        return self.revision

    def put(self, key, value):
        return self.write(key, json.dumps(value).encode())

    def value(self, key):
        item = self.items.get(key)
        return json.loads(base64.b64decode(item["Value"])) if item else None

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                line, headers = head
                body = await read_body(reader, headers)
                method, target, _ = line.split(" ", 2)
                status, answer = await self.answer(method, target, body)
                text = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\ncontent-type: application/json\r\n"
                    f"content-length: {len(text)}\r\n\r\n".encode() + text
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, method, target, body):
        path, _, query = target.partition("?")
        args = dict(pair.partition("=")[::2] for pair in query.split("&") if pair)
        await asyncio.sleep(0.004)
        if path == "/api/kv-key":
            item = self.items.get(args.get("Key", ""))
            if item is None:
                return 404, {"StoreRevision": self.revision}
            return 200, dict(item, StoreRevision=self.revision)
        if path == "/api/kv-range":
            prefix, after = args.get("PathPrefix", ""), args.get("after", "")
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            page = [self.items[key] for key in keys[:500]]
            more = len(keys) > 500
            return 200, {"items": page, "HasMore": more, "StoreRevision": self.revision}
        if path == "/api/kv-watch":
            return await self.watch(args)
        if path == "/api/kv-txn" and method == "POST":
            return self.swap(json.loads(body))
        return 404, {}

    async def watch(self, args):
        prefix, after = args.get("PathPrefix", ""), int(args.get("after", "0"))
        until = time.monotonic() + int(args.get("WaitMs", "0")) / 1000
        while True:
            changed = self.changed
            new = [
                event
                for event in self.history[-4000:]
                if event["Revision"] > after and event["Key"].startswith(prefix)
            ]
            left = until - time.monotonic()
            if new or left <= 0:
                return 200, {"events": new, "StoreRevision": self.revision}
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def swap(self, body):
        for row in body.get("ExpectedRev", []):
            item = self.items.get(row["Key"])
            if (item["Revision"] if item else 0) != row["Revision"]:
                return 412, {"items": [item] if item else []}
        for row in body.get("Puts", []):
            self.write(row["Key"], base64.b64decode(row["Value"]))
            self.record.line(f"store: wrote {row['Key']} at revision {self.revision}")
        for key in body.get("Deletes", []):
            self.write(key, None)
        return 200, {"Revision": self.revision}


class Worker:
    """A worker of the service that streams. It runs each request that is meant for
    it, and answers with `events` events of equal size."""

    def __init__(self, record, store, service, name, events=5, zone="zone-a"):
        self.record, self.store = record, store
        self.service, self.name, self.events, self.zone = service, name, events, zone
        self.runs = []
        self.sequence = 1

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        self.register()
        self.beating = asyncio.ensure_future(self.beat())

    def register(self):
        entry = {
            "Service": self.service,
            "Address": f"127.0.0.1:{self.port}",
            "Zone": self.zone,
            "Version": "1.0",
            "Slots": 16,
            "State": "ready",
            "ColdLeftMs": 0,
            "Seq": self.sequence,
        }
        self.store.put(f"servers/{self.name}", entry)

    async def beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self.sequence += 1
            self.register()

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                line, headers = head
                body = await read_body(reader, headers)
                await self.answer(line, headers, body, writer)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, line, headers, body, writer):
        attempt = headers.get("x-attempt-id", "")
        common = f"x-attempt-id: {attempt}\r\nx-instance-load: 1,0,16\r\n"
        if headers.get("x-expect-instance", self.name) != self.name:
            writer.write(
                f"HTTP/1.1 421 X\r\n{common}x-not-executed: 1\r\ncontent-length: 0\r\n\r\n".encode()
            )
            return await writer.drain()
        self.runs.append((attempt, body))
        self.record.line(
            f"run: {self.name} runs {attempt} previous={headers.get('x-previous-turn')} "
            f"body={len(body)} bytes"
        )
        writer.write(
            f"HTTP/1.1 200 OK\r\n{common}x-server-signature: sig-{self.name}-{attempt}\r\n"
            "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n".encode()
        )
        for number in range(1, self.events + 1):
            await asyncio.sleep(0.01)
            event = f"id: {number}\ndata: {attempt}-{number}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()


class Node:
    """One of the project's processes."""

    def __init__(self, site, name, program, settings):
        self.site, self.name, self.program = site, name, program
        self.settings = settings
        self.process = None

    def start(self):
        file = os.path.join(self.site.folder, f"{self.name}.json")
        with open(file, "w", encoding="utf-8") as out:
            json.dump(self.settings, out)
        env = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        env["LIMPETFERRY_SETTINGS"] = file
        log = open(os.path.join(self.site.folder, f"{self.name}.log"), "ab")
        self.process = subprocess.Popen(
            [self.program], cwd=ROOT, env=env, stdin=subprocess.DEVNULL, stdout=log, stderr=log
        )
        log.close()
        self.site.record.line(f"process: {self.name} started, pid {self.process.pid}")

    def signal(self, number):
        self.site.record.line(f"process: {signal.Signals(number).name} to {self.name}")
        self.process.send_signal(number)

    async def kill(self):
        self.signal(signal.SIGKILL)
        await self.wait()

    async def stop(self):
        self.signal(signal.SIGTERM)
        await self.wait()

    async def wait(self):
        while self.process.poll() is None:
            await asyncio.sleep(0.01)
        self.site.record.line(f"process: {self.name} ended with {self.process.returncode}")

    def has_ended(self):
        return self.process.poll() is not None

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def wipe(self):
        """Empties the disk of a keeper that does not run."""
        folder = self.settings["data"]["folder"]
        shutil.rmtree(folder)
        os.makedirs(folder)
        self.settings["first"] = False
        self.site.record.line(f"process: the disk of {self.name} is lost")

    def log_lines(self, text):
        path = os.path.join(self.site.folder, f"{self.name}.log")
        with open(path, encoding="utf-8", errors="replace") as log:
            return [line.rstrip("\n") for line in log if text in line]


class Answer:
    """What a consumer got."""

    def __init__(self, status, headers, body, whole):
        self.status, self.headers, self.body, self.whole = status, headers, body, whole

    def ok(self):
        return self.status == 200 and self.whole


class Site:
    """The processes and stand-ins of one run."""

    def __init__(self, record, faults=1, bounds=None):
        for program in (GATEWAY, KEEPER):
            if not os.path.exists(os.path.join(ROOT, program)):
                raise CannotRun(f"{program} is missing; build the release first")
        self.record, self.faults = record, faults
        self.folder = tempfile.mkdtemp(prefix="limpetferry-review-")
        self.store = Store(record)
        self.nodes, self.keepers, self.gateways, self.workers = [], [], [], []
        self.number = 0
        self.grace_ms = 8000

    def common(self, name):
        peers, metrics = free_ports(2)
        return {
            "node": name,
            "centre": "zone-a",
            "peers": f"127.0.0.1:{peers}",
            "metrics": f"127.0.0.1:{metrics}",
            "key": "limpetferry-peers-of-one-site",
            "store": f"127.0.0.1:{self.store.port}",
            "seeds": [keeper.settings["common"]["peers"] for keeper in self.keepers][:3],
            "faults": self.faults,
            "allowances": {},
            "stop_ms": self.grace_ms,
        }

    def add_keeper(self, name, first):
        folder = os.path.join(self.folder, f"{name}.data")
        os.makedirs(folder)
        settings = {
            "common": self.common(name),
            "data": {"folder": folder, "max_mb": 520},
            "first": first,
        }
        node = Node(self, name, KEEPER, settings)
        self.keepers.append(node)
        self.nodes.append(node)
        node.start()
        # Holds for the first start of the whole site only.
        settings["first"] = False
        return node

    def add_gateway(self, name):
        callers, ready = free_ports(2)
        settings = {
            "common": self.common(name),
            "callers": f"127.0.0.1:{callers}",
            "ready": f"127.0.0.1:{ready}",
            "connections": 2500,
            "bodies_mb": 24,
            "switches": {"reports": True, "queue": True, "overload": True, "handoff": True},
            "capacity": {"link_mbps": 1000.0, "cpu_share": 0.19},
        }
        node = Node(self, name, GATEWAY, settings)
        self.gateways.append(node)
        self.nodes.append(node)
        node.start()
        return node

    async def add_worker(self, service, name, **options):
        worker = Worker(self.record, self.store, service, name, **options)
        await worker.start()
        self.workers.append(worker)
        return worker

    async def is_ready(self, gateway):
        try:
            answer = await exchange(gateway.settings["ready"], "GET", "/api/readyz", {}, b"", 1.0)
        except (OSError, asyncio.TimeoutError):
            return False
        return answer.status == 200

    async def wait_ready(self, gateway, limit=15.0):
        until = time.monotonic() + limit
        while time.monotonic() < until:
            if await self.is_ready(gateway):
                self.record.line(f"ready: {gateway.name}")
                return
            await asyncio.sleep(0.05)
        raise CannotRun(f"{gateway.name} is not ready after {limit} s")

    def attempt(self):
        self.number += 1
        return f"{self.number:016x}"

    async def turn(self, gateway, path, program, previous=None, text=b"x" * 200, **more):
        """Sends one turn and returns its id with the answer."""
        attempt = self.attempt()
        headers = {
            "X-Attempt-Id": attempt,
            "X-Program-Id": program,
            "X-Session-Id": f"{program}-1",
            "X-Program-Deadline-Ms": "20000",
            "X-Token-Budget": str(more.get("budget", 100000)),
            "X-Token-Usage": more.get("usage", "200,100"),
            "X-Deadline-Ms": str(more.get("deadline_ms", 3000)),
        }
        if previous:
            headers["X-Previous-Turn"] = previous
        self.record.line(
            f"sent: {attempt} to {gateway.name} program={program} previous={previous}"
        )
        try:
            answer = await exchange(
                gateway.settings["callers"], "POST", path, headers, text, 4.0
            )
        except (OSError, asyncio.TimeoutError) as error:
            answer = Answer(0, {}, b"", False)
            self.record.line(f"answer: {attempt} none ({error!r})")
            return attempt, answer
        why = answer.body.decode("utf-8", "replace").strip() if answer.status != 200 else ""
        self.record.line(
            f"answer: {attempt} status={answer.status} whole={answer.whole} "
            f"retry-after={answer.headers.get('retry-after')} {why}"
        )
        return attempt, answer

    def close(self):
        for node in self.nodes:
            node.end()
        for node in self.nodes:
            if node.process is not None:
                node.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


async def exchange(address, method, path, headers, body, limit):
    """Sends one request on a new connection and reads the whole answer."""
    return await asyncio.wait_for(_exchange(address, method, path, headers, body), limit)


async def _exchange(address, method, path, headers, body):
    host, port = address.rsplit(":", 1)
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        lines += [f"Content-Length: {len(body)}", "", ""]
        writer.write("\r\n".join(lines).encode() + body)
        await writer.drain()
        head = await read_head(reader)
        if head is None:
            return Answer(0, {}, b"", False)
        line, answer_headers = head
        status = int(line.split(" ")[1])
        try:
            got = await read_body(reader, answer_headers)
            return Answer(status, answer_headers, got, True)
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            return Answer(status, answer_headers, b"", False)
    finally:
        writer.close()


def route(name, prefix, kind, service, **more):
    base = {
        "Name": name,
        "Host": HOST,
        "PathPrefix": prefix,
        "Type": kind,
        "TimeoutMs": 3000,
        "TargetLatencyMs": 250,
        "Priority": 1,
        "Service": service,
        "MaxAttempts": 1,
        "Retained": False,
        "Sticky": True,
        "Resumable": False,
        "GapTargetMs": 200,
    }
    base.update(more)
    return base


def config(version, routes, services):
    return {
        "Version": version,
        "Routes": routes,
        "Services": services,
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 4194304,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
    }


def main(case, limit_s):
    """Runs a case within a time limit, and exits with its verdict: 1 broken, 0 held,
    2 not run. The first argument of the script is the file of its record; with
    TROUBLE=0 the disruption is left out."""
    record = Record(sys.argv[1])
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.line(f"trouble={'on' if trouble else 'off'}")
    holder = {}

    async def bounded():
        site = Site(record)
        holder["site"] = site
        await site.store.start()
        return await asyncio.wait_for(case(site, trouble), limit_s)

    def leave(*_):
        raise KeyboardInterrupt

    signal.signal(signal.SIGTERM, leave)
    code = 2
    try:
        broken = asyncio.run(bounded())
        code = 1 if broken else 0
        record.line("verdict: " + ("the rule is broken" if broken else "the rule held"))
    except CannotRun as error:
        record.line(f"verdict: not run: {error}")
        print(error, file=sys.stderr)
    except (asyncio.TimeoutError, OSError, KeyboardInterrupt) as error:
        record.line(f"verdict: not run: {error!r}")
        print(repr(error), file=sys.stderr)
    finally:
        if "site" in holder:
            holder["site"].close()
        record.close()
    sys.exit(code)
