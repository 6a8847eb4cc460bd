"""Bounded turns of tasks in the event loop, and how long each held it.

A task runs until it waits. One whose peer writes, or reads, as fast as this process never has to,
and neither other tasks nor timers would run. Every loop that reads or writes for a peer therefore
asks, with each operation, whether its task's turn is over, and then gives way to the others.
"""

import selectors
import time
import typing

import curio
import curio.io
import curio.kernel

from ebonywheel import logs, metrics

# A turn ends after this time, unless the program sets another, or this many operations on sockets
# and parsers. The time is checked with each `CHECK_INTERVAL`-th of them.
MAX_TURN_S = 0.004
MAX_OPERATIONS = 256
CHECK_INTERVAL = 4
# Shorter turns are not recorded, as recording costs more than they take.
MIN_RECORDED_S = 0.001
LOG_INTERVAL_S = 1.0


class Turn:
    """The turn of the task that runs now.

    Attributes:
        began_at: When it began, seconds of the performance counter.
        operations: Operations since.
        sock: Socket of the last operation, also if that was in an earlier turn; None before the
            first.
        max_s: Time after which a turn is over.
    """

    __slots__ = ("began_at", "operations", "sock", "max_s")

    def __init__(self):
        self.max_s = MAX_TURN_S
        self.sock: curio.io.Socket | None = None
        self.begin(time.perf_counter())

    def begin(self, now: float) -> None:
        """Begin another turn."""
        self.began_at = now
        self.operations = 0

    def is_over(self, sock: curio.io.Socket | None = None) -> bool:
        """Count an operation, and return whether the task should give way before it."""
        self.operations += 1
        self.sock = sock
        if self.operations % CHECK_INTERVAL:
            return False
        over = self.operations >= MAX_OPERATIONS
        return over or time.perf_counter() - self.began_at > self.max_s


current = Turn()


async def give_way() -> None:
    """Let other tasks and due timers run; a cancellation or timeout that is due is raised."""
    await curio.sleep(0)
    # One that came due while this task was ready to run is raised here: the kernel would forget it
    # when the task leaves a timeout of its own without having waited.
    await curio.check_cancellation()
    current.begin(time.perf_counter())


class Selector(selectors.DefaultSelector):
    """Begins a turn each time that the event loop has waited."""

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Wait until a file is ready; return those that are."""
        ready = super().select(timeout)
        current.begin(time.perf_counter())
        return ready


class Monitor(curio.kernel.Activation):
    """Records how long tasks hold the event loop, and logs who held it for too long.

    Attributes:
        limit_s: Turns that took longer are logged, at most one each `LOG_INTERVAL_S`.
        metrics: Holds the histogram; None before `attach`.
        unlogged: Number of turns over the limit since the last log line.
    """

    def __init__(self, limit_s: float):
        self.limit_s = limit_s
        self.metrics: metrics.Metrics | None = None
        self.log: logs.EventLogger | None = None
        self.logged_at = float("-inf")
        self.unlogged = 0

    def attach(self, process_metrics: metrics.Metrics, log: logs.EventLogger) -> None:
        """Record and log from now on."""
        self.metrics = process_metrics
        self.log = log

    def suspended(self, task: curio.Task, trap: typing.Any) -> None:
        """End the turn of a task and begin the next; the kernel calls this when a task waits."""
        now = time.perf_counter()
        held_s = now - current.began_at
        if held_s >= MIN_RECORDED_S and self.metrics is not None:
            self._record(task, held_s)
            now = time.perf_counter()
        current.began_at = now
        current.operations = 0

    def _record(self, task: curio.Task, held_s: float) -> None:
        self.metrics.observe("loop_held", held_s)
        if held_s < self.limit_s:
            return
        self.metrics.count("loop_held_too_long")
        self.unlogged += 1
        now = time.perf_counter()
        if now - self.logged_at >= LOG_INTERVAL_S:
            self.log.warning(
                "loop_held",
                task=task.name,
                peer=_peer_name(current.sock) if current.operations else "",
                held_ms=int(held_s * 1000),
                count=self.unlogged,
            )
            self.logged_at = now
            self.unlogged = 0


def run(
    monitor: Monitor,
    function: typing.Callable[..., typing.Awaitable[typing.Any]],
    *arguments: typing.Any,
) -> typing.Any:
    """Run an event loop until a coroutine function is done, and return its result."""
    return curio.run(function, *arguments, selector=Selector(), activations=[monitor])


def _peer_name(sock: curio.io.Socket | None) -> str:
    """Return the address of a socket's peer, empty when there is none any more."""
    try:
        host, port = sock.getpeername()[:2] if sock is not None else ("", 0)
    except (OSError, AttributeError, ValueError):
        return ""
    return f"{host}:{port}" if host else ""
