"""A late second answer is taken for the answer to a copy call; runs go on from foreign memory."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import parts2 as parts

STREAMS = 11
LABELS = 36
NOTICE_S = 1.54


def prompt(number, tokens, most, own):
    shared = f"5c1e07a2:48,{own}{number:06x}:{tokens - 48}"
    return (("X-Model-Name", "m"), ("X-Token-Counts", f"{tokens},{most}"),
            ("X-Prompt-Prefix", shared), ("X-Length-Hint", str(most)))


async def case(record):
    async with parts.System(record, ["lulea-a"]) as system:
        first, second = [
            parts.ModelServer(system, record, f"i-{name}", "dele69a", "lulea-a")
            for name in ("first", "second")
        ]
        keeping = []
        for server in (first, second):
            await server.start()
            keeping.append(asyncio.create_task(server.keep_reports()))
        first.peers = second.peers = {first.address: first, second.address: second}
        content = parts.manifest(7, [
            parts.route("plan", "/plan/", "streaming", "dele69a", 39000, 1800),
            parts.route("label", "/label/", "streaming", "dele69a", 6000, 1500, priority=0),
        ], [parts.ENGINE_SERVICE, parts.PLAIN_SERVICE])
        await system.order_until_taken("PUT", "/api/config", content)
        await first.register()
        await system.wait_ready()
        await asyncio.sleep(2.0)

        async def plan(number):
            consumer = parts.Consumer(system, record)
            attempt = f"plan-{number:02}"
            answer = await consumer.request("POST", "/plan/1", attempt, body=b"p" * 2600,
                                            headers=prompt(number, 2600, 400, "aa"))
            consumer.close()
            return attempt, answer

        plans = []
        for number in range(STREAMS):
            plans.append(asyncio.create_task(plan(number)))
            await asyncio.sleep(0.3)
        for _ in range(50):
            if len(first.runs) == STREAMS:
                break
            await asyncio.sleep(0.1)
        else:
            raise parts.CannotRunError(f"only {len(first.runs)} streams run")

        async def label(number):
            consumer = parts.Consumer(system, record)
            answer = await consumer.request(
                "POST", "/label/1", f"label-{number:02}",
                headers=prompt(number, 200, 4, "bb"), deadline_ms=6000)
            consumer.close()
            if answer.status != 200:
                raise parts.CannotRunError(f"status {answer.status} for a short stream")

        # Two at a time, the second a little later; the first of the last two is spoiled.
        last = LABELS - 2
        if parts.TROUBLE:
            first.spoil = lambda attempt: attempt == f"label-{last:02}"
        for number in range(0, LABELS, 2):
            begun = asyncio.create_task(label(number))
            await asyncio.sleep(0.05)
            await asyncio.gather(begun, label(number + 1))

        await second.register()
        await asyncio.sleep(1.0)
        record("i-first is to be taken away and says so")
        first.leaves_at = asyncio.get_running_loop().time() + NOTICE_S
        first.state, first.leaving = "draining", True
        await first.report()
        await asyncio.sleep(NOTICE_S)
        record("i-first is gone")
        await first.stop()
        answers = await asyncio.gather(*plans)
        for server in (first, second):
            await server.stop()

    held = not second.foreign
    for attempt, other in second.foreign:
        record(f"{attempt} went on from the memory of {other}")
    for attempt, answer in answers:
        foreign = [line for line in answer.body.decode().split("\n")
                   if line.startswith("data:") and not line.endswith(attempt)]
        if foreign:
            held = False
            record(f"the consumer of {attempt} got {len(foreign)} foreign pieces, first {foreign[0]!r}, "
                   f"whole={answer.whole}")
    return held


parts.main(__file__, case)
