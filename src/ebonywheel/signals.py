"""Signals: SIGTERM and SIGINT drain, a second SIGINT ends the process at once, SIGHUP reloads."""

import os
import signal
import socket
import typing

import curio
import curio.io

from ebonywheel import kernel, sockets

EXIT_SECOND_INTERRUPT = 130
DRAIN_SIGNALS = (signal.SIGTERM, signal.SIGINT)
HANDLED_SIGNALS = (*DRAIN_SIGNALS, signal.SIGHUP)


def install(core: kernel.Kernel) -> curio.io.Socket:
    """Take signals from now on, until the process is gone; return where `watch` reads them."""
    reader, writer = socket.socketpair()
    reader.setblocking(False)
    writer.setblocking(False)
    core.exit_stack.callback(writer.close)
    previous = signal.set_wakeup_fd(writer.fileno(), warn_on_full_buffer=False)
    core.exit_stack.callback(signal.set_wakeup_fd, previous)
    for number in HANDLED_SIGNALS:
        signal.signal(number, _ignore_signal)
        # The interpreter gives signals with a handler their default effect while it ends.
        core.exit_stack.callback(signal.signal, number, signal.SIG_IGN)
    return sockets.Socket(reader)


async def watch(core: kernel.Kernel, source: curio.io.Socket) -> None:
    """Drain at SIGTERM or SIGINT, exit at the second SIGINT, and reload at SIGHUP.

    Platforms repeat SIGTERM; a second SIGINT comes from a person at a terminal.
    """
    interrupted = False
    async with source:
        while True:
            for number in await source.recv(16):
                if number == signal.SIGHUP:
                    await core.reload()
                elif number in DRAIN_SIGNALS:
                    if number == signal.SIGINT and interrupted:
                        _exit_at_once(core)
                    interrupted = interrupted or number == signal.SIGINT
                    await _drain(core, signal.Signals(number))


async def _drain(core: kernel.Kernel, received: signal.Signals) -> None:
    if core.draining.is_set():
        core.log.info("already_draining", signal=received.name)
        return
    core.log.info("draining", signal=received.name)
    await core.draining.set()


def _exit_at_once(core: kernel.Kernel) -> typing.NoReturn:
    core.log.warning("exit_at_once")
    os._exit(EXIT_SECOND_INTERRUPT)


def _ignore_signal(number: int, frame: object) -> None:
    """Do nothing: `watch` reads the signal from the wake-up descriptor."""
