"""Replicated suspicion of requests that were in flight when backend servers died."""

import msgspec

from ebonywheel import commands, configuration, registry, statedata

QUARANTINE_DEATHS = 2


class SuspectHandler:
    """What the handlers of suspicion share."""

    def target(self, command: commands.AnyCommand) -> str:
        """Return the fingerprint."""
        return command.fingerprint.hex()


@registry.plugins.register("command", "ReportCrash")
class ReportCrashHandler(SuspectHandler):
    """Counts a death against the requests that were in flight."""

    def apply(
        self, data: statedata.StateData, index: int, command: commands.ReportCrash
    ) -> commands.Outcome:
        """Count once for each incarnation and request; quarantine at the second death."""
        _expire(data, index, command.environment)
        _forget_crashes(data, data.at_ms - data.limits.quarantine_ms)
        key = _crash_key(command.environment, command.server, command.incarnation)
        crash = data.crashes.setdefault(key, statedata.CrashRecord(data.at_ms))
        new = [one for one in command.suspects if one.fingerprint not in crash.fingerprints]
        crash.fingerprints.extend(one.fingerprint for one in new)
        for suspect in new:
            self._count(data, index, command, suspect)
        return commands.CrashRecorded(quarantined=_quarantined(data, command))

    def target(self, command: commands.ReportCrash) -> str:
        """Return the server and the fingerprints."""
        listed = " ".join(suspect.fingerprint.hex()[:16] for suspect in command.suspects)
        return f"{command.environment}/{command.server} {listed}"

    def _count(
        self,
        data: statedata.StateData,
        index: int,
        command: commands.ReportCrash,
        suspect: commands.Suspect,
    ) -> None:
        held = _suspicion(data, command.environment, suspect.fingerprint)
        deaths = 1 if held is None else held.deaths + 1
        # In a second death that others shared it is one suspect among many.
        if held is not None and not command.alone:
            if not _is_only_common(data, command, suspect.fingerprint):
                deaths = held.deaths
        value = configuration.Suspicion(
            suspect.customer,
            deaths,
            deaths >= QUARANTINE_DEATHS,
            data.at_ms + data.limits.quarantine_ms,
        )
        key = configuration.suspect_key(command.environment, suspect.fingerprint)
        data.put(key, index, msgspec.json.encode(value))


@registry.plugins.register("command", "ClearSuspect")
class ClearSuspectHandler(SuspectHandler):
    """Ends the suspicion of a request that ran alone and finished."""

    def apply(
        self, data: statedata.StateData, index: int, command: commands.ClearSuspect
    ) -> commands.Outcome:
        """Remove the suspicion unless the request is quarantined."""
        _expire(data, index, command.environment)
        held = _suspicion(data, command.environment, command.fingerprint)
        if held is not None and held.quarantined:
            return commands.Refused(code="quarantined", text="only an operator can release it")
        data.remove(configuration.suspect_key(command.environment, command.fingerprint), index)
        return commands.Accepted(index=index)


@registry.plugins.register("command", "ReleaseQuarantine")
class ReleaseQuarantineHandler(SuspectHandler):
    """Ends a quarantine."""

    def apply(
        self, data: statedata.StateData, index: int, command: commands.ReleaseQuarantine
    ) -> commands.Outcome:
        """Remove the suspicion."""
        if _suspicion(data, command.environment, command.fingerprint) is None:
            return commands.Refused(code="not_quarantined", text="no such request")
        data.remove(configuration.suspect_key(command.environment, command.fingerprint), index)
        return commands.Accepted(index=index)


def _suspicion(
    data: statedata.StateData, environment: str, fingerprint: bytes
) -> configuration.Suspicion | None:
    value = data.present(configuration.suspect_key(environment, fingerprint))
    if value is None:
        return None
    return msgspec.json.decode(value, type=configuration.Suspicion)


def _quarantined(data: statedata.StateData, command: commands.ReportCrash) -> list[bytes]:
    found = []
    for suspect in command.suspects:
        held = _suspicion(data, command.environment, suspect.fingerprint)
        if held is not None and held.quarantined:
            found.append(suspect.fingerprint)
    return found


def _crash_key(environment: str, server: str, incarnation: int) -> str:
    return f"{environment}/{server}/{incarnation}"


def _is_only_common(
    data: statedata.StateData, command: commands.ReportCrash, fingerprint: bytes
) -> bool:
    """Return whether a request is all that an earlier death and this one have in common.

    A death known with one request only may have been reported in part, and proves nothing here.
    """
    own = _crash_key(command.environment, command.server, command.incarnation)
    here = set(data.crashes[own].fingerprints)
    if len(here) < 2:
        return False
    for key, crash in data.crashes.items():
        if key == own or not key.startswith(f"{command.environment}/"):
            continue
        if len(crash.fingerprints) >= 2 and here.intersection(crash.fingerprints) == {fingerprint}:
            return True
    return False


def _forget_crashes(data: statedata.StateData, before_ms: int) -> None:
    for key in [key for key, crash in data.crashes.items() if crash.at_ms < before_ms]:
        del data.crashes[key]


def _expire(data: statedata.StateData, index: int, environment: str) -> None:
    prefix = f"{environment}/suspects/"
    for key in [key for key in data.items if key.startswith(prefix)]:
        value = data.present(key)
        if value is None:
            continue
        if msgspec.json.decode(value, type=configuration.Suspicion).until_ms < data.at_ms:
            data.remove(key, index)
