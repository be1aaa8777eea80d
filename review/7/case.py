"""Two store machines freeze, one after the other, while programs go on; what the programs
were handed before is forgotten. See claim.txt."""

import asyncio
import os
import secrets
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))

import site2
from site2 import TROUBLE, Site, Worker, attempt_id, chunk, exchange, main, stream_head

PROGRAMS = 60
BUDGET = 1000
EVENT_TOKENS = 50
SECOND_AT = 40.0    # seconds after the first turns
THIRD_AT = 84.0
FREEZE_S = 3.0      # the site file: 3.2

CONFIG = {
    "Version": 7,
    "Routes": [{
        "Name": "draft", "Host": site2.HOST, "PathPrefix": "/draft/", "Type": "streaming",
        "TimeoutMs": 3000, "TargetLatencyMs": 250, "Priority": 1, "Service": "llm",
        "MaxAttempts": 2, "Retained": False, "RetentionS": 60.0, "Sticky": True,
        "Resumable": False, "GapTargetMs": 250,
    }],
    "Services": [{
        "Name": "llm", "HealthPath": "/healthz", "MaxConns": 180,
        "Runtime": {"Slots": 64, "KvCapacity": 665039, "ChunkTokens": EVENT_TOKENS},
    }],
    "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304,
               "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
}


async def run_turn(worker, request, reader, writer):
    await site2.read_body(reader, request.headers)
    worker.ran(request)
    events = int(request.headers["x-token-usage"].split(",")[1]) // EVENT_TOKENS
    writer.write(stream_head(worker, request))
    for at in range(1, events + 1):
        await asyncio.sleep(0.005)
        writer.write(chunk(f"id: {at}\ndata: {request.attempt}-{at}\n\n".encode()))
    writer.write(b"0\r\n\r\n")
    await writer.drain()
    return True


class Program:
    def __init__(self):
        self.id, self.session, self.tokens = secrets.token_hex(4), secrets.token_hex(4), 0


async def turn(site, gateway, program, number, most):
    for _ in range(4):
        attempt = attempt_id()
        headers = {
            "X-Attempt-Id": attempt, "X-Model": "m", "X-Token-Usage": f"400,{most}",
            "X-Prompt-Prefix": f"5c1e07a2:300,{program.session}:100",
            "X-Deadline-Ms": "3000", "X-Program-Id": program.id,
            "X-Session-Id": program.session, "X-Program-Deadline-Ms": "120000",
            "X-Token-Budget": str(BUDGET),
        }
        got = await exchange(site.gateways[gateway][1], "POST", "/draft/1", headers, b"input", 4)
        program.tokens += got.body.count(b"data: ") * EVENT_TOKENS if got.status == 200 else 0
        site.record.note(f"answer program={program.id} turn={number} gateway={gateway} "
                         f"tokens={program.tokens} {got}")
        if got.status not in (429, 503):
            return got
        await asyncio.sleep(float(got.headers.get("retry-after", "0.2")))
    return got


async def turns(site, gateway, programs, number, most, over):
    async def later(at, program):
        await asyncio.sleep(over * at / len(programs))
        return await turn(site, gateway, program, number, most)
    return await asyncio.gather(*(later(at, one) for at, one in enumerate(programs)))


async def case():
    site = Site(FOLDER, keepers=3, gateways=2)
    try:
        workers = [Worker(site, "llm", run_turn) for _ in range(3)]
        await site.start(CONFIG, workers)
        programs = [Program() for _ in range(PROGRAMS)]
        start = site.record.now()

        async def until(at):
            await asyncio.sleep(start + at - site.record.now())

        await turns(site, 0, programs, 1, 450, 2.0)
        await turns(site, 0, programs, 2, 450, 2.0)
        await until(SECOND_AT - 1.5)
        if TROUBLE:
            site.signal("storage-0", signal.SIGSTOP)
        await until(SECOND_AT)
        second = asyncio.gather(turns(site, 0, programs, 3, 50, 1.0))
        await until(SECOND_AT - 1.5 + FREEZE_S)
        if TROUBLE:
            site.signal("storage-0", signal.SIGCONT)
        await second
        await until(THIRD_AT - 1.0)
        if TROUBLE:
            site.signal("storage-1", signal.SIGSTOP)
        await until(THIRD_AT)
        await turns(site, 1, programs, 4, 450, 0.6)
        await turns(site, 1, programs, 5, 450, 0.6)
        if TROUBLE:
            site.signal("storage-1", signal.SIGCONT)
        over = [one for one in programs if one.tokens > BUDGET + 450]
        text = (f"{len(over)} of {PROGRAMS} programs were handed more than their budget of {BUDGET} "
                f"and the 450 of one turn; the most is {max(one.tokens for one in programs)}")
        site.record.note("result " + text)
        print(text)
        return bool(over)
    finally:
        site.stop()


main(FOLDER, case)
