"""A delayed withdrawal of an evacuation undoes a later evacuation that was acknowledged."""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import harness  # noqa: E402

ZONE = "lund-a"
EVACUATION_DELAY_S = 5.0
FREEZE_S = 4.0
INTERVAL_S = 0.05


async def case(fleet):
    routes = [
        harness.route("r-book", "/book/", "unsafe"),
        harness.route("r-look", "/look/", "safe"),
    ]
    zones = list(harness.ZONES)
    servers = [
        harness.Server(fleet, n + 1, "book", zones[n % len(zones)]) for n in range(len(zones) * 2)
    ]
    await fleet.start(harness.manifest(1, routes), servers)
    await asyncio.sleep(harness.STABLE_WINDOW_S)
    sound = asyncio.create_task(keep_sending(fleet))
    await asyncio.sleep(2.0)

    leader = fleet.leader()
    frozen = next(control for control in fleet.controls if control is not leader)
    await fleet.order("POST", f"/api/evacuations/{ZONE}", avoid=[frozen])
    await asyncio.sleep(1.0)
    if harness.TROUBLE:
        frozen.send_signal(signal.SIGSTOP)
    thaw = asyncio.create_task(thaw_later(frozen))
    # The operator takes the zone back, and soon evacuates it again. Its first choice is the host
    # that stands still; it sends each order again to another host and gets its ack there.
    await fleet.order("DELETE", f"/api/evacuations/{ZONE}", first=frozen)
    _, acked_at = await fleet.order("POST", f"/api/evacuations/{ZONE}", avoid=[frozen])
    thawed_at = await thaw
    # The latest moment at which the pages excuse a request: the bound, stretched by an unstable
    # core, and the time after the thaw in which no host counts as in touch.
    bound = max(
        acked_at + EVACUATION_DELAY_S + harness.OUTER_S, thawed_at + harness.STABLE_WINDOW_S
    )
    await asyncio.sleep(bound + 5.0 - fleet.record.now())
    sound.cancel()
    runs = [
        (at, attempt, server.id)
        for server in servers
        if server.zone == ZONE
        for at, attempt in server.runs
        if at > bound
    ]
    return [
        f"EVAC: {attempt} ran at {server} in {ZONE} at {at:.2f}, though the evacuation was "
        f"acknowledged at {acked_at:.2f} and not taken back"
        for at, attempt, server in sorted(runs)
    ]


async def thaw_later(frozen):
    await asyncio.sleep(FREEZE_S)
    if harness.TROUBLE:
        frozen.send_signal(signal.SIGCONT)
    return frozen.fleet.record.now()


async def keep_sending(fleet):
    tasks = set()
    count = 0
    while True:
        entry = fleet.entries[count % len(fleet.entries)]
        method, path = (("POST", "/book/1"), ("GET", "/look/1"))[count // 3 % 2]
        task = asyncio.create_task(fleet.request(entry, method, path, b""))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        count += 1
        await asyncio.sleep(INTERVAL_S)


harness.main(case)
