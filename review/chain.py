"""A chain of turns over two programs. The first program is silent while the second
one goes on in steps that are each shorter than RetentionS. Then the gateway is
killed and started again, and the second program sends its next turn.

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
# Seconds after the first turn at which the turns of the second program are sent.
# Each names the one before, which was answered less than 45 s ago.
SECOND_AT = 42.0
LAST_AT = 84.0
PATH = "/drafts/turn"


async def until(start, at):
    await asyncio.sleep(max(0.0, start + at - time.monotonic()))


async def case(site, trouble):
    routes = [
        loopback.route(
            "drafts", "/drafts/", "streaming", "engine", Retained=True, RetentionS=RETENTION_S
        )
    ]
    services = [{"Name": "engine", "MaxConns": 180, "Runtime": {"ChunkTokens": 10}}]
    site.store.put("op/config", loopback.config(1, routes, services))
    workers = [await site.add_worker("engine", f"worker-{n}") for n in range(2)]
    for number in range(3):
        site.add_keeper(f"keeper-{number}", first=True)
    gateway = site.add_gateway("gateway-0")
    await site.wait_ready(gateway)

    start = time.monotonic()
    first, answer = await site.turn(gateway, PATH, "program-a", text=b"first of a ")
    if not answer.ok():
        raise loopback.CannotRun("the first turn was not served")
    second, answer = await site.turn(gateway, PATH, "program-b", first, b"first of b ")
    if not answer.ok():
        raise loopback.CannotRun("the second turn was not served")
    await until(start, SECOND_AT)
    third, answer = await site.turn(gateway, PATH, "program-b", second, b"second of b ")
    if not answer.ok():
        raise loopback.CannotRun("the third turn was not served")
    named_at = time.monotonic()
    await until(start, LAST_AT - 2.0)
    if trouble:
        await gateway.kill()
        gateway.start()
        await site.wait_ready(gateway)
    await until(start, LAST_AT)

    # A consumer sends a turn that failed again, at most twice; a 404 ends it.
    for _ in range(3):
        age = time.monotonic() - named_at
        last, answer = await site.turn(gateway, PATH, "program-b", third, b"third of b ")
        site.record.line(
            f"check: {last} names {third}, which was answered whole {age:.1f} s ago; "
            f"RetentionS is {RETENTION_S:.0f}; status {answer.status}"
        )
        if answer.status in (404, 410):
            return age < RETENTION_S
        if answer.ok():
            bodies = [body for worker in workers for (id, body) in worker.runs if id == last]
            chain = [(first, b"first of a "), (second, b"first of b "), (third, b"second of b ")]
            wanted = b"".join(
                text + b"".join(f"{turn}-{n}\n".encode() for n in range(1, 6))
                for turn, text in chain
            )
            whole = bodies == [wanted + b"third of b "]
            site.record.line(f"check: the worker got the whole chain: {whole}")
            return not whole
        await asyncio.sleep(0.3)
    return False


if __name__ == "__main__":
    loopback.main(case, limit_s=110)
