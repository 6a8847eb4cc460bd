"""The kernel: the one object that holds what all parts of a process share."""

import contextlib
import typing

import curio

from ebonywheel import clock, exceptions, logs, metrics, registry, settings


class Kernel:
    """Identity, clock, metrics, plug-ins, tasks and clean-up of one process.

    Attributes:
        role: Program name: ``entry``, ``control`` or ``operator``.
        host: Identity of the host.
        secret: Secret shared by the system's processes.
        clock: Time source.
        metrics: Counters and histograms.
        plugins: Registry of plug-ins.
        stack: Owns everything that must be closed.
        draining: Set when the process has been asked to end gracefully.
        failed: The fault that ends the process, or None.
        on_reload: Called when the settings may have changed.
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
        self.log = logs.StateLog(role, host.name)
        self.stack = contextlib.AsyncExitStack()
        self.draining = curio.Event()
        self.stopped = curio.Event()
        self.failed: BaseException | None = None
        self.tasks: set[curio.Task] = set()
        self.on_reload: list[typing.Callable[[], typing.Awaitable[None]]] = []

    async def __aenter__(self) -> "Kernel":
        await self.stack.__aenter__()
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        # Tasks go first: closing a socket that a task still waits on would leave it stuck.
        await self.cancel_tasks()
        await self.stack.__aexit__(*exc_info)

    async def spawn(self, coro: typing.Coroutine, essential: bool = False) -> curio.Task:
        """Start a task that the kernel cancels when the process ends.

        Args:
            coro: The task's body.
            essential: End the process when the task fails.
        """
        task = await curio.spawn(self._guard(coro, essential), daemon=True)
        self.tasks.add(task)
        return task

    async def fail(self, error: BaseException) -> None:
        """End the process because of a fault."""
        self.failed = self.failed or error
        self.log.error("process_failed", error=error, kind=type(error).__name__)
        await self.stopped.set()

    async def reload(self) -> None:
        """Tell all parts that the settings may have changed."""
        self.log.info("reload", parts=len(self.on_reload))
        for call in self.on_reload:
            await call()

    async def cancel_tasks(self) -> None:
        """Cancel all tasks that still run."""
        for task in list(self.tasks):
            await task.cancel()

    async def _guard(self, coro: typing.Coroutine, essential: bool) -> None:
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
            self.log.error("task_failed", error=error, kind=type(error).__name__, at=_place(error))
            if essential:
                await self.fail(error)
        finally:
            self.tasks.discard(await curio.current_task())


def _place(error: BaseException) -> str:
    trace = error.__traceback__
    while trace is not None and trace.tb_next is not None:
        trace = trace.tb_next
    if trace is None:
        return ""
    return f"{trace.tb_frame.f_code.co_filename.rsplit('/', 1)[-1]}:{trace.tb_lineno}"
