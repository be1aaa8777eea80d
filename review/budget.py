"""A program's turns are given up by their consumer while they wait for a worker with
room, so that none of them runs. Then everything is killed at once. The program comes
back and goes on from its last whole turn; its budget holds several more turns.

With TROUBLE=0 the consumer stays until it has its answer (503, not run).

Not one of the cases; see REPORT.md. Run: TROUBLE=1 python3 THIS_FILE RECORD_FILE
"""

import asyncio
import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, HERE)

import loopback  # noqa: E402

RETENTION_S = 60.0
RECOVER_S = 12.0
# Tokens: five events of ten each a turn.
BUDGET = 250
USAGE = "200,50"
GIVEN_UP = 4
# `fleetbench kinds`, give_up: within half the objective of 250 ms.
GIVE_UP_S = 0.125
PATH = "/drafts/turn"


class BusyWorker(loopback.Worker):
    """A worker that can be full."""

    full = False

    async def answer(self, line, headers, body, writer):
        if not self.full:
            return await super().answer(line, headers, body, writer)
        attempt = headers.get("x-attempt-id", "")
        self.record.line(f"rejected: {self.name} is full and does not run {attempt}")
        writer.write(
            f"HTTP/1.1 503 X\r\nx-attempt-id: {attempt}\r\nx-instance-load: 16,48,16\r\n"
            "x-not-executed: 1\r\ncontent-length: 0\r\n\r\n".encode()
        )
        await writer.drain()


async def give_up(site, gateway, program, previous):
    """Sends a turn and closes the channel after a while, answered or not."""
    sending = asyncio.ensure_future(
        site.turn(gateway, PATH, program, previous, b"input ", budget=BUDGET, usage=USAGE)
    )
    await asyncio.wait([sending], timeout=GIVE_UP_S)
    if not sending.done():
        sending.cancel()
        site.record.line("consumer: gives up and closes its channel")
    await asyncio.wait([sending])


async def case(site, trouble):
    routes = [
        loopback.route(
            "drafts", "/drafts/", "streaming", "engine", Retained=True, RetentionS=RETENTION_S
        )
    ]
    services = [{"Name": "engine", "MaxConns": 180, "Runtime": {"ChunkTokens": 10}}]
    site.store.put("op/config", loopback.config(1, routes, services))
    workers = []
    for number in range(2):
        worker = BusyWorker(site.record, site.store, "engine", f"worker-{number}")
        await worker.start()
        workers.append(worker)
    keepers = [site.add_keeper(f"keeper-{number}", first=True) for number in range(3)]
    gateway = site.add_gateway("gateway-0")
    await site.wait_ready(gateway)
    await asyncio.sleep(1.0)
    more = {"budget": BUDGET, "usage": USAGE}

    first, answer = await site.turn(gateway, PATH, "program-a", None, b"first ", **more)
    if not answer.ok():
        raise loopback.CannotRun("the first turn was not served")
    for worker in workers:
        worker.full = True
    for _ in range(GIVEN_UP):
        if trouble:
            await give_up(site, gateway, "program-a", first)
        else:
            await site.turn(gateway, PATH, "program-a", first, b"input ", **more)
    for worker in workers:
        worker.full = False
    ran = sum(len(worker.runs) for worker in workers)
    site.record.line(f"check: {ran} turn of the program has run; {ran * 50} of {BUDGET} tokens")
    await asyncio.sleep(3.0)

    for node in [gateway, *keepers]:
        node.signal(signal.SIGKILL)
    for node in [gateway, *keepers]:
        await node.wait()
    for node in [gateway, *keepers]:
        node.start()
    back = time.monotonic()
    await site.wait_ready(gateway)
    statuses = []
    while time.monotonic() < back + RECOVER_S + 4.0:
        _, answer = await site.turn(gateway, PATH, "program-a", first, b"next ", **more)
        statuses.append(answer.status)
        if answer.ok():
            break
        await asyncio.sleep(1.0)
    _, new = await site.turn(gateway, PATH, "program-b", None, b"first ", **more)
    site.record.line(f"check: the turn gets {statuses}; a first turn of another program {new.status}")
    return not answer.ok() and new.ok()


if __name__ == "__main__":
    loopback.main(case, limit_s=100)
