"""Signals: SIGTERM and SIGINT drain, a second one ends the process at once, SIGHUP reloads."""

import os
import signal
import socket

import curio
import curio.io

from ebonywheel import kernel

EXIT_SECOND_SIGNAL = 130
DRAIN_SIGNALS = (signal.SIGTERM, signal.SIGINT)
HANDLED_SIGNALS = (*DRAIN_SIGNALS, signal.SIGHUP)


async def watch(core: kernel.Kernel) -> None:
    """Drain at the first SIGTERM or SIGINT, exit at the second, and reload at SIGHUP."""
    reader, writer = socket.socketpair()
    reader.setblocking(False)
    writer.setblocking(False)
    core.exit_stack.callback(writer.close)
    previous = signal.set_wakeup_fd(writer.fileno(), warn_on_full_buffer=False)
    core.exit_stack.callback(signal.set_wakeup_fd, previous)
    for number in HANDLED_SIGNALS:
        core.exit_stack.callback(signal.signal, number, signal.signal(number, _ignore_signal))
    async with curio.io.Socket(reader) as source:
        while True:
            for number in await source.recv(16):
                if number == signal.SIGHUP:
                    await core.reload()
                elif number in DRAIN_SIGNALS:
                    await _drain_or_exit(core, signal.Signals(number))


async def _drain_or_exit(core: kernel.Kernel, received: signal.Signals) -> None:
    if core.draining.is_set():
        core.log.warning("exit_at_once", signal=received.name)
        os._exit(EXIT_SECOND_SIGNAL)
    core.log.info("draining", signal=received.name)
    await core.draining.set()


def _ignore_signal(number: int, frame: object) -> None:
    """Do nothing: `watch` reads the signal from the wake-up descriptor."""
