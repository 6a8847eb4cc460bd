"""Replicated ledger of calls that may not repeat: at most one run for each idempotency key.

A key is handed to one operation of one entry host at a time. It is handed out again only after
that operation recorded ``not_run``, which it does only when it will never send the call. A host
that left the roster without an outcome leaves ``unknown`` behind, for good.
"""

import enum

from ebonywheel import commands, configuration, hoststate, idempotency, registry, statedata

UNKNOWN_TEXT = "the entry host that ran the call went away before it recorded an outcome"


class RefusalCode(enum.StrEnum):
    """Codes of `commands.Refused` that the ledger uses."""

    FUTURE_KEY = "future_key"
    NOT_SERVING = "not_serving"
    NOT_BEGUN = "not_begun"


def call_key(command: commands.BeginCall | commands.EndCall) -> str:
    """Return the ledger key of a call."""
    return f"{command.environment}/{command.customer}/{command.service}/{command.key}"


class CallHandler:
    """What the handlers of calls share."""

    def target(self, command: commands.BeginCall | commands.EndCall) -> str:
        """Return customer, service and key."""
        return call_key(command)

    def forget(self, data: statedata.StateData) -> None:
        """Advance the horizon and drop the records behind it."""
        horizon_ms = data.at_ms - data.limits.key_horizon_ms
        data.call_horizon_ms = max(data.call_horizon_ms, horizon_ms)
        # A record outlives its key's acceptance: the key was made before the call was begun,
        # or at most the allowed skew after it.
        before_ms = data.call_horizon_ms - idempotency.FUTURE_SKEW_MS
        while data.calls:
            oldest = next(iter(data.calls))
            if data.calls[oldest].at_ms >= before_ms:
                return
            del data.calls[oldest]


@registry.plugins.register("command", "BeginCall")
class BeginCallHandler(CallHandler):
    """Records an intent, unless the key has one."""

    def apply(
        self, data: statedata.StateData, index: int, command: commands.BeginCall
    ) -> commands.Outcome:
        """Return whether the asking host may run the call, or what became of it."""
        self.forget(data)
        key = call_key(command)
        held = data.calls.get(key)
        if held is None:
            return self._begin(data, key, command)
        # A record without a digest stands for an intent that was withdrawn before it arrived.
        if held.digest and held.digest != command.digest:
            return commands.CallMismatch()
        if held.outcome is not None:
            return self._after(data, key, command, held)
        if held.begun_by == command.operation:
            return commands.CallStarted()
        if _is_serving(data, command.environment, held.host, held.incarnation):
            return commands.CallRunning()
        held.outcome = commands.CallOutcome("unknown", text=UNKNOWN_TEXT)
        return commands.CallStored(outcome=held.outcome)

    def _after(
        self,
        data: statedata.StateData,
        key: str,
        command: commands.BeginCall,
        held: statedata.CallRecord,
    ) -> commands.Outcome:
        # A late copy of the operation that ended as not run must not begin it again: nobody
        # would run it.
        if held.outcome.kind != "not_run" or held.begun_by == command.operation:
            return commands.CallStored(outcome=held.outcome)
        return self._begin(data, key, command)

    def _begin(
        self, data: statedata.StateData, key: str, command: commands.BeginCall
    ) -> commands.Outcome:
        created_ms = idempotency.created_ms(command.key)
        if created_ms < data.call_horizon_ms:
            return commands.CallExpired()
        if created_ms > data.at_ms + idempotency.FUTURE_SKEW_MS:
            return commands.Refused(
                code=RefusalCode.FUTURE_KEY, text="the key's time is in the future"
            )
        if not _is_serving(data, command.environment, command.host, command.incarnation):
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
    """Records an outcome."""

    def apply(
        self, data: statedata.StateData, index: int, command: commands.EndCall
    ) -> commands.Outcome:
        """Store the outcome if the call was begun by the same operation."""
        self.forget(data)
        key = call_key(command)
        held = data.calls.get(key)
        if held is None and command.outcome.kind == "not_run":
            return self._withdraw(data, index, key, command)
        if held is None or held.begun_by != command.begun_by:
            return commands.Refused(
                code=RefusalCode.NOT_BEGUN, text="the call was not begun by this operation"
            )
        if held.outcome is None or held.outcome.kind == "unknown":
            held.outcome = command.outcome
        return commands.Accepted(index=index)

    def _withdraw(
        self, data: statedata.StateData, index: int, key: str, command: commands.EndCall
    ) -> commands.Outcome:
        # The intent may still be on its way here; when it arrives it must not begin anything.
        if idempotency.created_ms(command.key) >= data.call_horizon_ms:
            data.calls[key] = statedata.CallRecord(
                b"", command.begun_by, "", 0, data.at_ms, command.outcome
            )
        return commands.Accepted(index=index)


def _is_serving(data: statedata.StateData, environment: str, host: str, incarnation: int) -> bool:
    entry = hoststate.roster_entry(data, configuration.roster_key(environment, host))
    return entry is not None and entry.incarnation == incarnation
