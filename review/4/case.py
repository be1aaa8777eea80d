"""A store machine freezes for three seconds while programs go on; later turns of these
programs come by another gateway. See claim.txt."""

import asyncio
import os
import secrets
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))

import site2
from site2 import TROUBLE, Site, Worker, attempt_id, chunk, exchange, main, stream_head

PROGRAMS = 200
RETENTION_S = 60.0
SECOND_AT = 40.0    # seconds after the first turns; within the retention
THIRD_AT = 83.0     # 43 s after the second turns; within the retention
FREEZE_S = 3.0      # node_freeze lasts 5 s where a day does not say

CONFIG = {
    "Version": 7,
    "Routes": [{
        "Name": "draft", "Host": site2.HOST, "PathPrefix": "/draft/", "Type": "streaming",
        "TimeoutMs": 3000, "TargetLatencyMs": 250, "Priority": 1, "Service": "llm",
        "MaxAttempts": 2, "Retained": True, "RetentionS": RETENTION_S, "Sticky": True,
        "Resumable": False, "GapTargetMs": 250,
    }],
    "Services": [{
        "Name": "llm", "HealthPath": "/healthz", "MaxConns": 180,
        "Runtime": {"Slots": 64, "KvCapacity": 665039, "ChunkTokens": 29},
    }],
    "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304,
               "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
}


async def run_turn(worker, request, reader, writer):
    body = await site2.read_body(reader, request.headers)
    worker.ran(request)
    worker.bodies[request.attempt] = body
    writer.write(stream_head(worker, request))
    for at in range(1, 4):
        await asyncio.sleep(0.005)
        writer.write(chunk(f"id: {at}\ndata: {request.attempt}-{at}\n\n".encode()))
    writer.write(b"0\r\n\r\n")
    await writer.drain()
    return True


class Program:
    def __init__(self):
        self.id, self.session = secrets.token_hex(4), secrets.token_hex(4)
        self.last = None        # the last turn that was answered whole
        self.ended = 0.0        # when that was
        self.history = b""


async def turn(site, gateway, program, number):
    """Sends one turn as a consumer does: again after a promise, at most four times."""
    text = f"input {number} of {program.id};".encode() * 4
    for _ in range(4):
        attempt = attempt_id()
        headers = {
            "X-Attempt-Id": attempt, "X-Model": "m", "X-Token-Usage": "400,120",
            "X-Prompt-Prefix": f"5c1e07a2:300,{program.session}:100",
            "X-Deadline-Ms": "3000", "X-Program-Id": program.id,
            "X-Session-Id": program.session, "X-Program-Deadline-Ms": "120000",
            "X-Token-Budget": "4640",
        }
        if program.last:
            headers["X-Previous-Turn"] = program.last
        port = site.gateways[gateway][1]
        sent = site.record.now()
        got = await exchange(port, "POST", "/draft/1", headers, text, 4)
        age = f" age={sent - program.ended:.1f}" if program.last else ""
        site.record.note(
            f"answer program={program.id} turn={number} gateway={gateway} "
            f"previous={program.last}{age} {got}")
        if got.status == 200 and got.whole:
            output = b"".join(f"{attempt}-{at}\n".encode() for at in range(1, 4))
            program.history += text + output
            program.last, program.ended = attempt, site.record.now()
            return got
        if got.status not in (429, 503):
            return got
        await asyncio.sleep(float(got.headers.get("retry-after", "0.2")))
    return got


async def turns(site, gateway, programs, number, over):
    async def later(at, program):
        await asyncio.sleep(over * at / len(programs))
        return await turn(site, gateway, program, number)
    return await asyncio.gather(*(later(at, one) for at, one in enumerate(programs)))


async def case():
    site = Site(FOLDER, keepers=3, gateways=2)
    try:
        workers = [Worker(site, "llm", run_turn) for _ in range(3)]
        for worker in workers:
            worker.bodies = {}
        await site.start(CONFIG, workers)
        programs = [Program() for _ in range(PROGRAMS)]
        start = site.record.now()

        async def until(at):
            await asyncio.sleep(start + at - site.record.now())

        await turns(site, 0, programs, 1, 4.0)
        programs = [program for program in programs if program.last]
        await until(SECOND_AT - 1.5)
        if TROUBLE:
            site.signal("storage-0", signal.SIGSTOP)
        await until(SECOND_AT)
        second = asyncio.gather(turns(site, 0, programs, 2, 1.0))
        await until(SECOND_AT - 1.5 + FREEZE_S)
        if TROUBLE:
            site.signal("storage-0", signal.SIGCONT)
        await second
        programs = [program for program in programs if program.ended > start + SECOND_AT - 1.5]
        await until(THIRD_AT)
        answers = await turns(site, 1, programs, 3, 4.0)
        denied = [got for got in answers if got.status in (404, 410)]
        served = [got for got in answers if got.status == 200 and got.whole]
        site.record.note(
            f"result second_turns_whole={len(programs)} third_turns_whole={len(served)} "
            f"third_turns_denied={len(denied)}")
        print(f"{len(programs)} turns were answered whole less than {RETENTION_S:.0f} s before; "
              f"{len(served)} of the turns that name them were served, {len(denied)} denied")
        if len(programs) < PROGRAMS / 2:
            raise site2.CannotRun("too few turns were served before")
        return bool(denied)
    finally:
        site.stop()


main(FOLDER, case)
