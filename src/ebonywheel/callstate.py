"""Replicated records of non-repeatable calls: each idempotency key runs at most once.

A key belongs to one operation of one entry host at a time. Another operation may begin the call
only after the first one recorded ``not_run``, which it does only when it will never send the call.
If the entry host leaves the roster without recording an outcome, the next request with the key sets
the outcome to ``unknown``. It stays so, also when the host comes back, until the operation that
began the call records its outcome after all.
"""

import enum

from ebonywheel import commands, configuration, hoststate, idempotency, registry, statedata

UNKNOWN_OUTCOME_TEXT = "the entry host that ran the call went away before it recorded an outcome"


class RefusalCode(enum.StrEnum):
    """Codes of `commands.Refused` for calls."""

    FUTURE_KEY = "future_key"
    NOT_SERVING = "not_serving"
    NOT_BEGUN = "not_begun"


def call_key(command: commands.BeginCall | commands.EndCall) -> str:
    """Return the key of a call's record."""
    return f"{command.environment}/{command.customer}/{command.service}/{command.key}"


class CallHandler:
    """Base class of the call handlers."""

    def target(self, command: commands.BeginCall | commands.EndCall) -> str:
        """Return the key of the call's record."""
        return call_key(command)

    def drop_old_records(self, data: statedata.StateData) -> None:
        """Advance the horizon and drop the records that are no longer needed."""
        horizon_ms = data.at_ms - data.limits.key_horizon_ms
        data.call_horizon_ms = max(data.call_horizon_ms, horizon_ms)
        # A record must last for as long as its key is accepted. The key's time may be ahead of the
        # record's by the allowed skew.
        oldest_kept_ms = data.call_horizon_ms - idempotency.MAX_FUTURE_SKEW_MS
        while data.calls:
            oldest = next(iter(data.calls))
            if data.calls[oldest].at_ms >= oldest_kept_ms:
                return
            del data.calls[oldest]


@registry.plugins.register("command", "BeginCall")
class BeginCallHandler(CallHandler):
    """Records the intent to run a call, unless another operation has the key."""

    def apply(
        self, data: statedata.StateData, index: int, command: commands.BeginCall
    ) -> commands.Outcome:
        """Return whether the requesting host may run the call, or the call's outcome."""
        self.drop_old_records(data)
        key = call_key(command)
        record = data.calls.get(key)
        if record is None:
            return self._begin(data, key, command)
        # A record without a digest is of a call that was withdrawn before its BeginCall arrived.
        if record.digest and record.digest != command.digest:
            return commands.CallMismatch()
        if record.outcome is not None:
            return self._begin_again(data, key, command, record)
        if record.begun_by == command.operation:
            return commands.CallStarted()
        if _is_in_roster(data, command.environment, record.host, record.incarnation):
            return commands.CallRunning()
        record.outcome = commands.CallOutcome("unknown", text=UNKNOWN_OUTCOME_TEXT)
        return commands.CallStored(outcome=record.outcome)

    def _begin_again(
        self,
        data: statedata.StateData,
        key: str,
        command: commands.BeginCall,
        record: statedata.CallRecord,
    ) -> commands.Outcome:
        # A delayed copy of the BeginCall that ended as not_run must not begin the call again: its
        # entry host has given up and would never run it.
        if record.outcome.kind != "not_run" or record.begun_by == command.operation:
            return commands.CallStored(outcome=record.outcome)
        return self._begin(data, key, command)

    def _begin(
        self, data: statedata.StateData, key: str, command: commands.BeginCall
    ) -> commands.Outcome:
        created_ms = idempotency.created_ms(command.key)
        if created_ms < data.call_horizon_ms:
            return commands.CallExpired()
        if created_ms > data.at_ms + idempotency.MAX_FUTURE_SKEW_MS:
            return commands.Refused(
                code=RefusalCode.FUTURE_KEY, text="the key's time is in the future"
            )
        if not _is_in_roster(data, command.environment, command.host, command.incarnation):
            return commands.Refused(
                code=RefusalCode.NOT_SERVING, text="the entry host is not in the roster"
            )
        data.calls.pop(key, None)
        data.calls[key] = statedata.CallRecord(
            command.digest, command.operation, command.host, command.incarnation, data.at_ms
        )
        return commands.CallStarted()


@registry.plugins.register("command", "EndCall")
class EndCallHandler(CallHandler):
    """Records the outcome of a call."""

    def apply(
        self, data: statedata.StateData, index: int, command: commands.EndCall
    ) -> commands.Outcome:
        """Store the outcome if the call was begun by the same operation."""
        self.drop_old_records(data)
        key = call_key(command)
        record = data.calls.get(key)
        if record is None and command.outcome.kind == "not_run":
            return self._withdraw(data, index, key, command)
        if record is None or record.begun_by != command.begun_by:
            return commands.Refused(
                code=RefusalCode.NOT_BEGUN, text="the call was not begun by this operation"
            )
        if record.outcome is None or record.outcome.kind == "unknown":
            record.outcome = command.outcome
        return commands.Accepted(index=index)

    def _withdraw(
        self, data: statedata.StateData, index: int, key: str, command: commands.EndCall
    ) -> commands.Outcome:
        # The BeginCall may still arrive, and must not begin the call then.
        if idempotency.created_ms(command.key) >= data.call_horizon_ms:
            data.calls[key] = statedata.CallRecord(
                b"", command.begun_by, "", 0, data.at_ms, command.outcome
            )
        return commands.Accepted(index=index)


def _is_in_roster(data: statedata.StateData, environment: str, host: str, incarnation: int) -> bool:
    entry = hoststate.roster_entry(data, configuration.roster_key(environment, host))
    return entry is not None and entry.incarnation == incarnation
