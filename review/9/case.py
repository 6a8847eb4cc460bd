"""A control host acknowledges a server's leave and is lost; the leave is lost with it."""

import asyncio
import os
import pathlib
import signal
import socket
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import parts2 as parts

DARK_S = 3.0
DRAIN_S = 2.5
STABLE_WINDOW_S = 4.0
SERVES_ON_S = 11.0
ROUNDS = 6


def leave(system, server, control):
    """Send a server's leave to a control host, which is killed as soon as the ack begins to arrive.

    Returns:
        The status, and the time of the ack.
    """
    request = (f"DELETE /api/instances/{server.name} HTTP/1.1\r\nHost: {control.ip}\r\n"
               "Content-Length: 0\r\n\r\n").encode()
    pid = control.process.pid
    with socket.create_connection((control.ip, system.control_port), timeout=1.0) as channel:
        channel.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        channel.setblocking(False)
        ends_at = time.monotonic() + 1.0
        channel.sendall(request)
        while time.monotonic() < ends_at:
            try:
                answer = channel.recv(4096)
            except BlockingIOError:
                continue
            if parts.TROUBLE:
                os.kill(pid, signal.SIGKILL)
            return int(answer.split(b" ")[1]), time.monotonic()
    return 0, time.monotonic()


async def play(system, record, number):
    """Have a server leave once; return whether it got no request too late."""
    leaving = parts.PlainServer(system, record, f"i-leaving-{number}", "wuno96b", "lulea-a")
    await leaving.start()
    await leaving.register()
    await asyncio.sleep(4.5)
    consumer = parts.Consumer(system, record)
    answer = await consumer.request("POST", "/book/1", f"before-{number}", deadline_ms=2000)
    if answer.status != 200 or not leaving.ran:
        raise parts.CannotRunError(f"status {answer.status} before the leave")

    leaving.reporter.cancel()
    await asyncio.sleep(0.3)
    leaving.leaving = True
    control = system.controls[1]
    status, acked_at = await asyncio.get_running_loop().run_in_executor(
        None, leave, system, leaving, control)
    record(f"{control.name} acknowledges that {leaving.name} leaves: {status}"
           f"{', and is killed' if parts.TROUBLE else ''}")
    if status != 200:
        raise parts.CannotRunError(f"status {status} for the leave")
    in_touch_at = acked_at + DRAIN_S
    if parts.TROUBLE:
        control.process.wait()
        await asyncio.sleep(DARK_S)
        system.write_settings(control, bootstrap=False)
        control.start()
        record(f"{control.name} is started again")
        in_touch_at = time.monotonic() + STABLE_WINDOW_S
    await asyncio.sleep(in_touch_at + 0.3 - time.monotonic())
    record("all machines are in touch from here on")
    sent = 0
    while time.monotonic() < acked_at + SERVES_ON_S:
        answer = await consumer.request("POST", "/book/1", f"late-{number}-{sent:02}",
                                        deadline_ms=2000)
        if not answer.whole:
            consumer.close()
            consumer = parts.Consumer(system, record)
        sent += 1
        await asyncio.sleep(0.2)
    consumer.close()
    late = [attempt for attempt, at in leaving.ran if at > in_touch_at]
    record(f"{leaving.name} ran {len(late)} of {sent} requests sent later than "
           f"{in_touch_at - acked_at:.1f} s after the ack of its leave; it exits now")
    await leaving.stop()
    return not late


async def case(record):
    async with parts.System(record, ["lulea-a"]) as system:
        content = parts.manifest(7, [
            parts.route("book", "/book/", "unsafe", "wuno96b", 2000, 400,
                        **{"allowed-regions": ["norrland"]}),
        ], [parts.ENGINE_SERVICE, parts.PLAIN_SERVICE])
        await system.order_until_taken("PUT", "/api/config", content)
        for zone in ("uppsala-a", "lund-a"):
            server = parts.PlainServer(system, record, f"i-{zone}", "wuno96b", zone)
            await server.start()
            await server.register()
        await system.wait_ready()
        held = True
        for number in range(ROUNDS):
            held = await play(system, record, number)
            if not held:
                break
    return held


parts.main(__file__, case)
