"""Records non-repeatable calls in the replicated ledger, from an entry host."""

import curio

from ebonywheel import callstate, commands, exceptions, feed, kernel

BEGIN_TIMEOUT_S = 5.0
END_TIMEOUT_S = 5.0
END_RETRY_PAUSE_S = 0.5
OUTCOME_WAIT_S = 2.0

STATUS_BAD_KEY = 400
STATUS_EXPIRED = 410
STATUS_MISMATCH = 422


class RunningError(exceptions.EbonywheelError):
    """A call with this key is already running; this request started nothing."""

    code = "running"


class CallLedger:
    """Records the intent before each call and the outcome after it.

    Attributes:
        unrecorded: Number of outcomes that are not durable yet.
    """

    def __init__(self, core: kernel.Kernel, config_feed: feed.Feed):
        self.core = core
        self.feed = config_feed
        self.unrecorded = 0

    async def begin(self, begin: commands.BeginCall) -> commands.CallOutcome | None:
        """Record the intent to run a call.

        Returns:
            None when the call may run now, otherwise the outcome stored for its key.

        Raises:
            NotRunError: The call may not run.
            RunningError: A call with the same key is already running.
        """
        try:
            outcome = await self.feed.submit(begin, BEGIN_TIMEOUT_S)
        except exceptions.UnknownOutcomeError as error:
            # The intent may be recorded now or later, but the call will not be sent.
            await self._start_recording(begin, commands.CallOutcome("not_run", text=str(error)))
            raise exceptions.NotRunError(
                error.text, "record intent", error.peer, retry_after=1
            ) from error
        match outcome:
            case commands.CallStarted():
                return None
            case commands.CallStored():
                return outcome.outcome
            case commands.CallRunning():
                raise RunningError("the call with this key is running", "record intent")
        raise _not_run_error(outcome)

    async def end(self, begin: commands.BeginCall, outcome: commands.CallOutcome) -> None:
        """Record an outcome and wait up to `OUTCOME_WAIT_S` until it is durable.

        Recording is retried in the background for as long as the process lives. Otherwise a
        resend would be told "running" forever.
        """
        recorded = await self._start_recording(begin, outcome)
        async with curio.ignore_after(OUTCOME_WAIT_S):
            await recorded.wait()
            return
        self.core.metrics.count("outcomes_late")

    async def _start_recording(
        self, begin: commands.BeginCall, outcome: commands.CallOutcome
    ) -> curio.Event:
        end = commands.EndCall(
            actor=begin.actor,
            environment=begin.environment,
            customer=begin.customer,
            service=begin.service,
            key=begin.key,
            begun_by=begin.operation,
            outcome=outcome,
        )
        recorded = curio.Event()
        self.unrecorded += 1
        await self.core.spawn(self._record(end, recorded))
        return recorded

    async def _record(self, end: commands.EndCall, recorded: curio.Event) -> None:
        try:
            while not await self._record_once(end):
                await curio.sleep(END_RETRY_PAUSE_S)
            await recorded.set()
        finally:
            self.unrecorded -= 1

    async def _record_once(self, end: commands.EndCall) -> bool:
        try:
            outcome = await self.feed.submit(end, END_TIMEOUT_S)
        except (exceptions.NotRunError, exceptions.UnknownOutcomeError):
            self.core.metrics.count("outcome_retries")
            return False
        if isinstance(outcome, commands.Refused):
            self.core.metrics.count("outcomes_refused", code=outcome.code)
        return True


def _not_run_error(outcome: commands.Outcome) -> exceptions.NotRunError:
    match outcome:
        case commands.CallMismatch():
            text = "the key was used for another request"
            status, retry_after = STATUS_MISMATCH, None
        case commands.CallExpired():
            text = "the key is older than the horizon; this request was not run"
            status, retry_after = STATUS_EXPIRED, None
        case commands.Refused(code=callstate.RefusalCode.FUTURE_KEY):
            text, status, retry_after = outcome.text, STATUS_BAD_KEY, None
        case commands.Refused():
            text, status, retry_after = outcome.text, 503, 1
        case _:
            text, status, retry_after = f"unexpected {type(outcome).__name__}", 503, 1
    return exceptions.NotRunError(text, "record intent", "", status, retry_after)
