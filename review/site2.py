"""A small deployment on loopback addresses for the cases of the second review.

The gateways and the keepers are the release binaries that deploy/system.toml names,
each a process of its own with settings like those that deploy/*.json are filled in to.
The platform's store, the workers and the consumers are stand-ins in this process that
follow PROTOCOL.md; they use the Python standard library only.
"""

import asyncio
import base64
import json
import os
import random
import secrets
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
GATEWAY = os.path.join(ROOT, "target", "release", "limpetferry-gateway")
KEEPER = os.path.join(ROOT, "target", "release", "limpetferry-keeper")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "ficu95.example"


class CannotRun(Exception):
    """The deployment did not come up, so that the case says nothing."""


def free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for one in sockets:
        one.bind(("127.0.0.1", 0))
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


class Record:
    """Writes what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        path = sys.argv[1] if len(sys.argv) > 1 else os.path.join(folder, "record.txt")
        self.file = open(path, "w")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def note(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


# ---------------------------------------------------------------- HTTP

async def read_head(reader):
    data = await reader.readuntil(b"\r\n\r\n")
    lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_chunk(reader):
    size = int((await reader.readline()).split(b";")[0], 16)
    data = await reader.readexactly(size)
    await reader.readline()
    return data


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while True:
            data = await read_chunk(reader)
            if not data:
                return b"".join(parts)
            parts.append(data)
    return await reader.readexactly(int(headers.get("content-length", "0")))


def head(first, headers):
    lines = [first] + [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


# ---------------------------------------------------------------- the store

class Store:
    """The platform's key-value store: linearizable, one revision counter."""

    def __init__(self):
        self.items = {}
        self.log = []
        self.revision = 0
        self.changed = asyncio.Event()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def put(self, key, value):
        self.revision += 1
        created = self.items.get(key, {}).get("Created", self.revision)
        item = {
            "Key": key,
            "Value": base64.b64encode(value).decode(),
            "Revision": self.revision,
            "Created": created,
            "Lease": 0,
        }
        self.items[key] = item
        self.tell(item)

    def delete(self, key):
        if self.items.pop(key, None):
            self.revision += 1
            self.tell({"Key": key, "Revision": self.revision, "Tombstone": True})

    def tell(self, event):
        self.log.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer):
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, target, _ = first.split(" ", 2)
                status, value = await self.answer(method, target, body)
                data = json.dumps(value).encode()
                fields = {"Content-Type": "application/json", "Content-Length": len(data)}
                writer.write(head(f"HTTP/1.1 {status} X", fields) + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, method, target, body):
        path, _, query = target.partition("?")
        query = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        if path == "/api/kv-key":
            item = self.items.get(query.get("Key", ""))
            return (200, {**item, "StoreRevision": self.revision}) if item else (404, {})
        if path == "/api/kv-range":
            prefix, after = query.get("PathPrefix", ""), query.get("after", "")
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            page = [self.items[key] for key in keys[:500]]
            more = len(keys) > 500
            return 200, {"items": page, "HasMore": more, "StoreRevision": self.revision}
        if path == "/api/kv-watch":
            return await self.watch(query)
        if path == "/api/kv-txn" and method == "POST":
            return self.txn(json.loads(body))
        return 404, {}

    async def watch(self, query):
        prefix, after = query.get("PathPrefix", ""), int(query.get("after", "0"))
        limit = time.monotonic() + int(query.get("WaitMs", "0")) / 1000
        while True:
            changed = self.changed
            events = [e for e in self.log if e["Revision"] > after and e["Key"].startswith(prefix)]
            left = limit - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "StoreRevision": self.revision}
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def txn(self, call):
        for row in call.get("ExpectedRev", []):
            now = self.items.get(row["Key"], {}).get("Revision", 0)
            if now != row["Revision"]:
                found = [self.items[r["Key"]] for r in call["ExpectedRev"] if r["Key"] in self.items]
                return 412, {"items": found}
        for put in call.get("Puts", []):
            self.put(put["Key"], base64.b64decode(put["Value"]))
        for key in call.get("Deletes", []):
            self.delete(key)
        return 200, {"Revision": self.revision}


# ---------------------------------------------------------------- workers

class Worker:
    """A worker; `handle(worker, request, reader, writer)` runs and answers one request,
    and returns whether the channel is kept."""

    def __init__(self, site, service, handle, slots=64, version="v1", sock=None):
        self.site, self.service, self.handle = site, service, handle
        self.slots, self.version, self.sock = slots, version, sock
        self.id = "i-" + secrets.token_hex(4)
        self.runs = []

    async def start(self):
        if self.sock is None:
            self.sock = socket.socket()
            self.sock.bind(("127.0.0.1", 0))
        self.port = self.sock.getsockname()[1]
        self.server = await asyncio.start_server(self.serve, sock=self.sock, limit=1 << 16)
        self.register("ready")

    def register(self, state):
        entry = {
            "Service": self.service, "Address": f"127.0.0.1:{self.port}", "Zone": "glasgow-a",
            "Version": self.version, "Slots": self.slots, "State": state, "ColdLeftMs": 0, "Seq": 1,
        }
        self.site.store.put(f"servers/{self.id}", json.dumps(entry).encode())

    async def serve(self, reader, writer):
        try:
            while True:
                first, headers = await read_head(reader)
                request = Request(first, headers)
                expected = headers.get("x-expect-instance")
                if expected and expected != self.id:
                    await read_body(reader, headers)
                    fields = {"X-Instance-Id": self.id, "Content-Length": 0}
                    writer.write(head("HTTP/1.1 421 Misdirected Request", fields))
                    await writer.drain()
                elif request.path == "/healthz":
                    fields = {"X-Instance-Id": self.id, "Content-Length": 0}
                    writer.write(head("HTTP/1.1 200 OK", fields))
                    await writer.drain()
                elif not await self.handle(self, request, reader, writer):
                    return
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def ran(self, request):
        self.runs.append(request.attempt)
        self.site.record.note(f"run attempt={request.attempt} worker={self.id} path={request.path}")


class Request:
    def __init__(self, first, headers):
        self.method, self.path, _ = first.split(" ", 2)
        self.headers = headers
        self.attempt = headers.get("x-attempt-id", "")


def signature(worker):
    return f"{worker.id}.{secrets.token_hex(4)}"


def answer(worker, request, body, status="200 OK"):
    fields = {
        "X-Attempt-Id": request.attempt,
        "X-Server-Signature": signature(worker),
        "Content-Length": len(body),
    }
    return head(f"HTTP/1.1 {status}", fields) + body


def stream_head(worker, request):
    fields = {
        "X-Attempt-Id": request.attempt,
        "X-Server-Signature": signature(worker),
        "Content-Type": "text/event-stream",
        "Transfer-Encoding": "chunked",
    }
    return head("HTTP/1.1 200 OK", fields)


def chunk(data):
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


# ---------------------------------------------------------------- the deployment

class Site:
    def __init__(self, folder, keepers=3, gateways=1):
        self.record = Record(folder)
        self.keeper_count, self.gateway_count = keepers, gateways
        self.data = tempfile.mkdtemp(prefix="review2-")
        self.processes = {}
        self.commands = {}

    async def start(self, config, workers):
        for binary in (GATEWAY, KEEPER):
            if not os.path.exists(binary):
                raise CannotRun("the build of the deploy file is missing")
        self.store = Store()
        await self.store.start()
        self.store.put("op/config", json.dumps(config).encode())
        for worker in workers:
            await worker.start()
        keeper_ports = [free_ports(2) for _ in range(self.keeper_count)]
        seeds = [f"127.0.0.1:{ports[0]}" for ports in keeper_ports[:3]]
        for at, ports in enumerate(keeper_ports):
            name = f"storage-{at}"
            folder = os.path.join(self.data, name)
            os.mkdir(folder)
            settings = {
                "common": self.common(name, ports[0], ports[1], seeds),
                "data": {"folder": folder, "max_mb": 420},
                "memory_mb": 280,
                "first": True,
            }
            self.spawn(name, KEEPER, settings)
        self.gateways = []
        for at in range(self.gateway_count):
            name = f"edge-{at}"
            callers, ready, peers, metrics = free_ports(4)
            settings = {
                "common": self.common(name, peers, metrics, seeds),
                "callers": f"127.0.0.1:{callers}",
                "ready": f"127.0.0.1:{ready}",
                "connections": 2500,
                "bodies_mb": 24,
                "switches": {"reports": True, "queue": True, "overload": True, "handoff": True},
                "capacity": {"link_mbps": 1000.0, "cpu_share": 0.19},
            }
            self.spawn(name, GATEWAY, settings)
            self.gateways.append((name, callers, ready))
        for at in range(self.gateway_count):
            await self.wait_ready(at)

    def common(self, name, peers, metrics, seeds):
        return {
            "node": name, "centre": "glasgow-a",
            "peers": f"127.0.0.1:{peers}", "metrics": f"127.0.0.1:{metrics}",
            "key": "limpetferry-peers-of-one-site",
            "store": f"127.0.0.1:{self.store.port}",
            "seeds": seeds, "faults": 1, "allowances": {}, "stop_ms": 8000,
        }

    def spawn(self, name, binary, settings=None):
        path = os.path.join(self.data, f"{name}.json")
        if settings is not None:
            with open(path, "w") as file:
                json.dump(settings, file)
            self.commands[name] = binary
        log = open(os.path.join(self.data, f"{name}.log"), "ab")
        environment = {**os.environ, "LIMPETFERRY_SETTINGS": path}
        self.processes[name] = subprocess.Popen(
            [self.commands[name]], stdout=log, stderr=log, env=environment)
        log.close()

    async def wait_ready(self, at, limit=25):
        ready = self.gateways[at][2]
        until = time.monotonic() + limit
        while time.monotonic() < until:
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", ready)
                writer.write(b"GET /api/readyz HTTP/1.1\r\nHost: r\r\n\r\n")
                first, _ = await asyncio.wait_for(read_head(reader), 1)
                writer.close()
                if " 200" in first:
                    return
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.1)
        raise CannotRun(f"{self.gateways[at][0]} did not become ready")

    def signal(self, name, number):
        self.record.note(f"signal process={name} signal={signal.Signals(number).name}")
        self.processes[name].send_signal(number)

    def kill(self, name):
        self.signal(name, signal.SIGKILL)
        self.processes[name].wait()

    def restart(self, name):
        self.record.note(f"restart process={name}")
        self.spawn(name, self.commands[name])

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
                process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.data, keep, dirs_exist_ok=True)
        shutil.rmtree(self.data, ignore_errors=True)


# ---------------------------------------------------------------- consumers

def attempt_id():
    return secrets.token_hex(8)


class Answer:
    def __init__(self, attempt, status=None, headers=None, body=b"", whole=False, error=""):
        self.attempt, self.status, self.headers = attempt, status, headers or {}
        self.body, self.whole, self.error = body, whole, error

    def __str__(self):
        shown = self.status if self.status is not None else "none"
        why = f" error={self.error}" if self.error else ""
        if self.status is not None and self.status >= 400:
            why += f" body={self.body[:160]!r}"
        return f"attempt={self.attempt} status={shown} whole={self.whole}{why}"


class Channel:
    """A consumer's channel to a gateway."""

    def __init__(self, port):
        self.port = port

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)
        return self

    def send(self, method, path, headers, body):
        fields = {"Host": HOST, **headers}
        if body or method == "POST":
            fields["Content-Length"] = len(body)
        self.writer.write(head(f"{method} {path} HTTP/1.1", fields) + body)

    async def receive(self, attempt):
        got = Answer(attempt)
        try:
            first, got.headers = await read_head(self.reader)
            got.status = int(first.split(" ")[1])
            if got.headers.get("transfer-encoding", "").lower() == "chunked":
                while True:
                    data = await read_chunk(self.reader)
                    if not data:
                        break
                    got.body += data
            else:
                size = int(got.headers.get("content-length", "0"))
                got.body = await self.reader.readexactly(size)
            got.whole = True
        except (asyncio.IncompleteReadError, ConnectionError, ValueError) as error:
            got.error = type(error).__name__
        return got

    def close(self):
        self.writer.close()


async def exchange(port, method, path, headers, body=b"", wait=10.0):
    """Sends one request on a new channel; gives up after `wait` seconds."""
    attempt = headers["X-Attempt-Id"]
    try:
        channel = await asyncio.wait_for(Channel(port).open(), 1)
    except (OSError, asyncio.TimeoutError) as error:
        return Answer(attempt, error=type(error).__name__)
    try:
        channel.send(method, path, headers, body)
        return await asyncio.wait_for(channel.receive(attempt), wait)
    except asyncio.TimeoutError:
        return Answer(attempt, error="no answer in time")
    finally:
        channel.close()


def main(folder, case):
    """Runs a case, an async function that returns whether the rule was broken, and
    exits as the reviews ask for."""
    async def run():
        return await asyncio.wait_for(case(), 115)
    try:
        broken = asyncio.run(run())
    except CannotRun as error:
        print(f"the case could not run: {error}")
        sys.exit(2)
    except asyncio.TimeoutError:
        print("the case could not run: it took too long")
        sys.exit(2)
    print("the rule was broken" if broken else "the rule held")
    sys.exit(1 if broken else 0)
