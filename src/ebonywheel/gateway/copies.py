"""Copies of running generations at other engines, made by calls to the engines that run them."""

import curio

from ebonywheel import exceptions, kernel, messages
from ebonywheel.gateway import dialect, inflight, liveness, relayedrun, sender

# Timeout of one copy: about as long as the notice of an engine that shuts down.
COPY_TIMEOUT_S = 3.0
# How long an engine is asked to stop a run, over all calls; time to notice that it does not report
# any more.
STOP_TIMEOUT_S = 4.5
# Pause before the next call to stop a run that is being copied, and to an engine that accepts no
# connection.
STOP_RETRY_S = 0.05
CONNECT_RETRY_S = 0.2
# A run that has been stopped goes on at its copy, though the copy's server was taken out of service
# or began to shut down meanwhile, if it was in service this long ago. Hosts have to act on such a
# change within 2.5 s of its acknowledgement.
MAX_OUT_OF_SERVICE_S = 1.0
DROP_TIMEOUT_S = 0.5


class Copies:
    """Makes, replaces and deletes copies of the runs that this host relays."""

    def __init__(self, core: kernel.Kernel, request_sender: sender.Sender):
        self.core = core
        self.sender = request_sender
        self.view = request_sender.view
        self.liveness = liveness.Liveness(core, self.view)

    async def make(
        self, run: relayedrun.Run, record: messages.DirectoryRecord, stop: bool
    ) -> dialect.CopyResult:
        """Copy a run to a server, while it goes on or after its engine has stopped it.

        The copy of a run that has ended or gone on elsewhere meanwhile is dropped.
        """
        source = run.record
        try:
            copy_result, copy = await self._call(run, record, stop)
        except exceptions.UpstreamError as error:
            self.core.log.warning("copy_failed", request=run.attempt(), error=error)
            return dialect.CopyResult(False, "", False)
        if run.is_at(source):
            run.stopped = run.stopped or (stop and copy_result.ends_run())
            if copy is not None:
                run.replace_copy(copy)
        elif copy is not None:
            copy.reservation.release()
            await self.drop(run.attempt(), source, copy)
        return copy_result

    async def stop(self, run: relayedrun.Run) -> bool:
        """Have the engine of a run that broke off stop it; return whether the run has ended there.

        Some engines work on after their connection is closed, and take no further one while they
        are at their limit. What the run has made since it was copied is copied, too; if that fails,
        the copy before remains.
        """
        attempts = liveness.FailedAttempts()
        remaining_s = run.context.deadline_at - self.core.clock.monotonic()
        async with curio.ignore_after(max(0.0, min(STOP_TIMEOUT_S, remaining_s))):
            while not run.stopped:
                await self._call_stop(run, attempts)
                if run.stopped:
                    return True
                if self.liveness.has_ended(run.record, attempts):
                    self._log_end(run, "run_taken_for_ended", attempts)
                    return True
                # An earlier copy of it may be in progress.
                await curio.sleep(STOP_RETRY_S if attempts.since is None else CONNECT_RETRY_S)
        if not run.stopped:
            self._log_end(run, "run_not_stopped", attempts)
        return run.stopped

    async def _call_stop(self, run: relayedrun.Run, attempts: liveness.FailedAttempts) -> None:
        try:
            copy_result, copy = await self._call(run, run.copy.record, stop=True)
        except exceptions.UpstreamError as error:
            self.core.log.warning("stop_failed", request=run.attempt(), error=error)
            attempts.record(error, self.core.clock.monotonic())
            return
        attempts.clear()
        run.stopped = copy_result.ends_run()
        if copy is not None:
            run.replace_copy(copy)

    def _log_end(self, run: relayedrun.Run, event: str, attempts: liveness.FailedAttempts) -> None:
        self.core.log.warning(
            event,
            request=run.attempt(),
            server=run.record.server,
            **self.liveness.describe(run.record, attempts),
        )

    def is_usable(self, copy: relayedrun.Copy) -> bool:
        """Return whether a run may go on at its copy."""
        if self.view.remains_in_service(copy.record):
            return True
        return self.core.clock.monotonic() - copy.in_service_at <= MAX_OUT_OF_SERVICE_S

    async def _call(
        self, run: relayedrun.Run, record: messages.DirectoryRecord, stop: bool
    ) -> tuple[dialect.CopyResult, relayedrun.Copy | None]:
        """Have a run copied to a server, whose memory is reserved before; return the copy, if any.

        Raises:
            UpstreamError: The engine did not answer.
        """
        tokens = run.context.request.prompt.expected_memory_tokens()
        reservation = inflight.Reservation(self.view.state_of(record), tokens, requests=0)
        source = run.record
        call = self.sender.dialect.copy_call(run.attempt(), record.address, stop)
        started_at = self.core.clock.monotonic()
        in_service_at = self._in_service_at(run, record)
        status = 0
        copy = None
        try:
            status, body = await self.sender.call_engine(source, call, COPY_TIMEOUT_S)
            copy_result = self.sender.dialect.decode_copy(status, body)
            if copy_result.complete:
                copy = relayedrun.Copy(
                    record, source.address, copy_result.handle, reservation, in_service_at
                )
            return copy_result, copy
        finally:
            if copy is None:
                reservation.release()
            self.core.log.info(
                "run_copied",
                request=run.attempt(),
                source=source.server,
                destination=record.server,
                stop=stop,
                status=status,
                events=run.splitter.count,
                took_ms=int((self.core.clock.monotonic() - started_at) * 1000),
            )

    def _in_service_at(self, run: relayedrun.Run, record: messages.DirectoryRecord) -> float:
        if self.view.remains_in_service(record):
            return self.core.clock.monotonic()
        known = run.copy is not None and run.copy.record is record
        return run.copy.in_service_at if known else float("-inf")

    async def drop(
        self, attempt: str, record: messages.DirectoryRecord, copy: relayedrun.Copy
    ) -> None:
        """Delete an unused copy of a run that has ended, by a call to the run's server."""
        call = self.sender.dialect.drop_copy_call(copy.handle)
        try:
            await self.sender.call_engine(record, call, DROP_TIMEOUT_S)
        except exceptions.UpstreamError as error:
            # The server that holds the copy deletes it by itself after a few seconds.
            self.core.log.info("copy_not_dropped", request=attempt, error=error)
