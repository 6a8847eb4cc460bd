"""Replicated ledger of calls that may not repeat: at most one run for each idempotency key."""

from ebonywheel import commands, configuration, hoststate, idempotency, registry, state, statedata

UNKNOWN_TEXT = "the entry host that ran the call went away before it recorded an outcome"


def call_key(command: commands.BeginCall | commands.EndCall) -> str:
    """Return the ledger key of a call."""
    return f"{command.environment}/{command.customer}/{command.service}/{command.key}"


class CallHandler:
    """What the handlers of calls share."""

    def __init__(self, limits: state.Limits):
        self.limits = limits

    def target(self, command: commands.BeginCall | commands.EndCall) -> str:
        """Return customer, service and key."""
        return call_key(command)


@registry.plugins.register("command", "BeginCall")
class BeginCallHandler(CallHandler):
    """Records an intent, unless the key has one."""

    def apply(
        self, data: statedata.StateData, index: int, command: commands.BeginCall
    ) -> commands.Outcome:
        """Return whether the asking host may run the call, or what became of it."""
        self._forget(data)
        key = call_key(command)
        held = data.calls.get(key)
        if held is None:
            return self._begin(data, key, command)
        if held.digest != command.digest:
            return commands.CallMismatch()
        if held.outcome is not None:
            if held.outcome.kind == "not_run":
                return self._begin(data, key, command)
            return commands.CallStored(outcome=held.outcome)
        if held.begun_by == command.operation:
            return commands.CallStarted()
        if _is_serving(data, command.environment, held):
            return commands.CallRunning()
        held.outcome = commands.CallOutcome("unknown", text=UNKNOWN_TEXT)
        return commands.CallStored(outcome=held.outcome)

    def _begin(
        self, data: statedata.StateData, key: str, command: commands.BeginCall
    ) -> commands.Outcome:
        if idempotency.created_ms(command.key) < data.call_horizon_ms:
            return commands.CallExpired()
        data.calls.pop(key, None)
        data.calls[key] = statedata.CallRecord(
            command.digest, command.operation, command.host, command.incarnation, data.at_ms
        )
        return commands.CallStarted()

    def _forget(self, data: statedata.StateData) -> None:
        horizon_ms = data.at_ms - self.limits.key_horizon_ms
        data.call_horizon_ms = max(data.call_horizon_ms, horizon_ms)
        # A record outlives its key's acceptance: the key was made before the call was begun,
        # or at most the allowed skew after it.
        before_ms = data.call_horizon_ms - idempotency.FUTURE_SKEW_MS
        while data.calls:
            oldest = next(iter(data.calls))
            if data.calls[oldest].at_ms >= before_ms:
                return
            del data.calls[oldest]


@registry.plugins.register("command", "EndCall")
class EndCallHandler(CallHandler):
    """Records an outcome."""

    def apply(
        self, data: statedata.StateData, index: int, command: commands.EndCall
    ) -> commands.Outcome:
        """Store the outcome if the call was begun by the same operation."""
        held = data.calls.get(call_key(command))
        if held is None or held.begun_by != command.begun_by:
            return commands.Refused(code="not_begun", text="the call was not begun by this host")
        if held.outcome is None or held.outcome.kind == "unknown":
            held.outcome = command.outcome
        return commands.Accepted(index=index)


def _is_serving(data: statedata.StateData, environment: str, record: statedata.CallRecord) -> bool:
    entry = hoststate.roster_entry(data, configuration.roster_key(environment, record.host))
    return entry is not None and entry.incarnation == record.incarnation
