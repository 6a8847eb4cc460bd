"""The kernel: the object that holds everything the parts of one process share."""

import contextlib
import resource
import typing

import curio

from ebonywheel import clock, exceptions, heldmemory, logs, metrics, registry, settings

# Descriptors that are counted with where the system has no limit.
MAX_DESCRIPTORS = 65_536


class Kernel:
    """Shared state of one process.

    Attributes:
        role: Program name: ``entry``, ``control`` or ``operator``.
        host: Identity of the host.
        secret: Secret shared by the system's processes.
        clock: Time source.
        metrics: Counters, gauges and histograms.
        callers: Memory that is held for callers and other peers.
        operators: Memory that is held for readiness checks and operators' calls.
        max_descriptors: Files and sockets that this process may open.
        plugins: Registry of plug-ins.
        exit_stack: Exit stack whose callbacks run when the process ends.
        draining: Set when the process has been asked to end gracefully.
        stopped: Set when the process ends, normally or after a failure.
        failure: Error that ended the process, or None.
        tasks: Running tasks that were started with `spawn`.
        reload_callbacks: Awaited when the settings may have changed.
    """

    def __init__(
        self,
        role: str,
        host: settings.HostSettings,
        secret: bytes,
        time_source: clock.Clock | None = None,
    ):
        self.role = role
        self.host = host
        self.secret = secret
        self.clock = time_source or clock.SystemClock()
        self.metrics = metrics.Metrics()
        self.plugins = registry.plugins
        self.log = logs.EventLogger(role, host.name)
        memory = host.memory_bytes or heldmemory.machine_bytes()
        self.callers = self._account("callers", int(memory * heldmemory.CALLERS_SHARE))
        operators = max(int(memory * heldmemory.OPERATORS_SHARE), heldmemory.OPERATORS_MIN_BYTES)
        self.operators = self._account("operators", operators)
        self.max_descriptors = host.max_descriptors or _descriptor_limit()
        self.exit_stack = contextlib.AsyncExitStack()
        self.draining = curio.Event()
        self.stopped = curio.Event()
        self.failure: BaseException | None = None
        self.tasks: set[curio.Task] = set()
        self.reload_callbacks: list[typing.Callable[[], typing.Awaitable[None]]] = []

    def _account(self, name: str, limit: int) -> heldmemory.Account:
        return heldmemory.Account(name, limit, self.clock, self.metrics, self.log)

    async def __aenter__(self) -> "Kernel":
        await self.exit_stack.__aenter__()
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        # Cancel tasks before closing sockets: a task that waits on a closed socket never resumes.
        await self.cancel_tasks()
        await self.exit_stack.__aexit__(*exc_info)

    async def spawn(self, coro: typing.Coroutine, essential: bool = False) -> curio.Task:
        """Start a task that the kernel cancels when the process ends.

        Args:
            coro: Coroutine that the task runs.
            essential: Whether a failure of the task ends the process.
        """
        task = await curio.spawn(self._run_task(coro, essential), daemon=True)
        task.name = coro.__qualname__
        self.tasks.add(task)
        return task

    async def fail(self, error: BaseException) -> None:
        """End the process because of an error; the first one is kept."""
        self.failure = self.failure or error
        self.log.error("process_failed", error=error, kind=type(error).__name__)
        await self.stopped.set()

    async def reload(self) -> None:
        """Await the reload callbacks, as the settings may have changed."""
        self.log.info("reload", parts=len(self.reload_callbacks))
        for callback in self.reload_callbacks:
            await callback()

    async def cancel_tasks(self) -> None:
        """Cancel all running tasks, and those that they start while they are cancelled."""
        while self.tasks:
            for task in list(self.tasks):
                await task.cancel()
                # One that was cancelled before it began has not removed itself.
                self.tasks.discard(task)

    async def _run_task(self, coro: typing.Coroutine, essential: bool) -> None:
        try:
            await coro
        except curio.CancelledError:
            raise
        except exceptions.EbonywheelError as error:
            self.metrics.count("task_errors", code=error.code)
            if essential:
                await self.fail(error)
        except Exception as error:
            self.metrics.count("task_errors", code="internal")
            self.log.error(
                "task_failed", error=error, kind=type(error).__name__, at=_raise_location(error)
            )
            if essential:
                await self.fail(error)
        finally:
            self.tasks.discard(await curio.current_task())


def _descriptor_limit() -> int:
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return MAX_DESCRIPTORS if soft == resource.RLIM_INFINITY else soft


def _raise_location(error: BaseException) -> str:
    trace = error.__traceback__
    while trace is not None and trace.tb_next is not None:
        trace = trace.tb_next
    if trace is None:
        return ""
    return f"{trace.tb_frame.f_code.co_filename.rsplit('/', 1)[-1]}:{trace.tb_lineno}"
