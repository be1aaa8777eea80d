"""All processes are killed while turns wait for a worker with room; their programs send
them again. See claim.txt."""

import asyncio
import os
import secrets
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))

import site2
from site2 import TROUBLE, Site, Worker, attempt_id, chunk, exchange, head, main, stream_head

PROGRAMS = 24
SLOTS = 4               # of each of two workers
MOST = 450              # tokens that one turn makes
BUDGET = 1000           # holds two turns
EVENT_TOKENS = 50
LONG_S = 1.5            # how long the streams last that take all slots
KILL_AT = 0.6           # after the second turns were sent
DOWN_S = 1.0            # the site's days: 0.6 to 1.3
RECOVER_S = 12.0

CONFIG = {
    "Version": 7,
    "Routes": [{
        "Name": "draft", "Host": site2.HOST, "PathPrefix": "/draft/", "Type": "streaming",
        "TimeoutMs": 3000, "TargetLatencyMs": 250, "Priority": 1, "Service": "llm",
        "MaxAttempts": 1, "Retained": True, "RetentionS": 60.0, "Sticky": True,
        "Resumable": False, "GapTargetMs": 250,
    }],
    "Services": [{
        "Name": "llm", "HealthPath": "/healthz", "MaxConns": 180,
        "Runtime": {"Slots": SLOTS, "KvCapacity": 665039, "ChunkTokens": EVENT_TOKENS},
    }],
    "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304,
               "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
}


async def run(worker, request, reader, writer):
    """Runs a request if a slot is free, and rejects it otherwise."""
    await site2.read_body(reader, request.headers)
    if worker.active >= SLOTS:
        fields = {"X-Attempt-Id": request.attempt, "X-Not-Executed": "1", "Content-Length": 0}
        writer.write(head("HTTP/1.1 503 Service Unavailable", fields))
        await writer.drain()
        return True
    worker.active += 1
    try:
        worker.ran(request)
        events = int(request.headers["x-token-usage"].split(",")[1]) // EVENT_TOKENS
        work = LONG_S if request.path == "/draft/long" else 0.1
        writer.write(stream_head(worker, request))
        for at in range(1, events + 1):
            await asyncio.sleep(work / events)
            writer.write(chunk(f"id: {at}\ndata: {request.attempt}-{at}\n\n".encode()))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
    finally:
        worker.active -= 1
    return True


class Program:
    def __init__(self):
        self.id, self.session = secrets.token_hex(4), secrets.token_hex(4)
        self.last = None        # the last turn that was answered whole
        self.tries = []         # ids of the tries of the second turn


async def send(site, program, path="/draft/1"):
    attempt = attempt_id()
    headers = {
        "X-Attempt-Id": attempt, "X-Model": "m", "X-Token-Usage": f"400,{MOST}",
        "X-Prompt-Prefix": f"5c1e07a2:300,{program.session}:100", "X-Deadline-Ms": "3000",
        "X-Program-Id": program.id, "X-Session-Id": program.session,
        "X-Program-Deadline-Ms": "30000", "X-Token-Budget": str(BUDGET),
    }
    if program.last:
        headers["X-Previous-Turn"] = program.last
    site.record.note(f"sent attempt={attempt} program={program.id} previous={program.last}")
    got = await exchange(site.gateways[0][1], "POST", path, headers, b"input", 4)
    site.record.note(f"answer program={program.id} previous={program.last} {got}")
    return got


async def first_turn(site, program):
    for _ in range(10):
        got = await send(site, program)
        if got.status == 200 and got.whole:
            program.last = got.attempt
            return True
        await asyncio.sleep(float(got.headers.get("retry-after", "0.2")))
    return False


async def second_turn(site, program, until):
    """Sends the second turn until it is served, is told 402, or the time is over."""
    while site.record.now() < until:
        got = await send(site, program)
        program.tries.append(got.attempt)
        if got.status == 200 and got.whole:
            return "served"
        if got.status in (400, 401, 402, 403, 404, 413):
            return got.status
        await asyncio.sleep(float(got.headers.get("retry-after", "0.3")))
    return "never"


async def case():
    site = Site(FOLDER, keepers=3, gateways=1)
    try:
        workers = [Worker(site, "llm", run, slots=SLOTS) for _ in range(2)]
        for worker in workers:
            worker.active = 0
        await site.start(CONFIG, workers)
        programs = [Program() for _ in range(PROGRAMS)]
        for program in programs:
            await first_turn(site, program)
        programs = [program for program in programs if program.last]
        if len(programs) < PROGRAMS / 2:
            raise site2.CannotRun("too few first turns were served")
        await asyncio.sleep(2.5)
        # Streams of other programs take all slots for a while.
        others = [Program() for _ in range(2 * SLOTS)]
        busy = asyncio.gather(*(send(site, one, "/draft/long") for one in others))
        await asyncio.sleep(0.3)
        end = site.record.now() + KILL_AT + DOWN_S + RECOVER_S
        seconds = asyncio.gather(*(second_turn(site, one, end) for one in programs))
        await asyncio.sleep(KILL_AT)
        if TROUBLE:
            names = list(site.processes)
            for name in names:
                site.kill(name)
            await asyncio.sleep(DOWN_S)
            for name in names:
                site.restart(name)
        await busy
        results = await seconds
        # Other turns in the last seconds before RecoverS is over, and after it.
        await asyncio.sleep(max(0, end - 4 - site.record.now()))
        new = [Program() for _ in range(PROGRAMS)]
        begun = [await first_turn(site, program) for program in new]
        ran = {attempt for worker in workers for attempt in worker.runs}
        lost = [one for one, result in zip(programs, results)
                if result != "served" and not any(attempt in ran for attempt in one.tries)]
        text = (f"{results.count('served')} of {len(programs)} second turns served, "
                f"{results.count(402)} told 402; {len(lost)} reached no worker in any try, though "
                f"{sum(begun)} of {len(new)} first turns were served at the end")
        site.record.note("result " + text)
        print(text)
        return bool(lost) and sum(begun) >= 0.8 * len(new)
    finally:
        site.stop()


main(FOLDER, case)
