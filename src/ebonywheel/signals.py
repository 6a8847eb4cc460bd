"""Signals: SIGTERM and SIGINT drain, a second one ends the process at once, SIGHUP reloads."""

import os
import signal
import socket

import curio
import curio.io

from ebonywheel import kernel

EXIT_SECOND_SIGNAL = 130
ENDING = (signal.SIGTERM, signal.SIGINT)
HANDLED = (*ENDING, signal.SIGHUP)


async def watch(core: kernel.Kernel) -> None:
    """Set the kernel's drain event at the first signal, exit at the second."""
    reader, writer = socket.socketpair()
    reader.setblocking(False)
    writer.setblocking(False)
    core.stack.callback(writer.close)
    previous = signal.set_wakeup_fd(writer.fileno(), warn_on_full_buffer=False)
    core.stack.callback(signal.set_wakeup_fd, previous)
    for number in HANDLED:
        core.stack.callback(signal.signal, number, signal.signal(number, _ignore))
    async with curio.io.Socket(reader) as source:
        while True:
            for number in await source.recv(16):
                if number == signal.SIGHUP:
                    await core.reload()
                elif number in ENDING:
                    await _handle(core, signal.Signals(number))


async def _handle(core: kernel.Kernel, number: signal.Signals) -> None:
    if core.draining.is_set():
        core.log.warning("exit_at_once", signal=number.name)
        os._exit(EXIT_SECOND_SIGNAL)
    core.log.info("draining", signal=number.name)
    await core.draining.set()


def _ignore(number: int, frame: object) -> None:
    """Take the signal; the wake-up descriptor tells the task."""
