"""Command handlers for requests that were in flight when backend servers died.

Such a request is suspected of having killed the server. It is quarantined at the second death that
is attributed to it.
"""

import msgspec

from ebonywheel import commands, configuration, registry, statedata

QUARANTINE_DEATHS = 2


class SuspectHandler:
    """Base class of the suspicion handlers."""

    def target(self, command: commands.AnyCommand) -> str:
        """Return the fingerprint."""
        return command.fingerprint.hex()


@registry.plugins.register("command", "ReportCrash")
class ReportCrashHandler(SuspectHandler):
    """Counts a death against the requests that were in flight."""

    def apply(
        self, data: statedata.StateData, index: int, command: commands.ReportCrash
    ) -> commands.Outcome:
        """Count the death once for each request; quarantine at the second one attributed to it."""
        _expire_suspicions(data, index, command.environment)
        _drop_old_crashes(data, data.at_ms - data.limits.quarantine_ms)
        key = _crash_key(command.environment, command.server, command.incarnation)
        crash = data.crashes.setdefault(key, statedata.CrashRecord(data.at_ms))
        uncounted = [
            suspect for suspect in command.suspects if suspect.fingerprint not in crash.fingerprints
        ]
        crash.fingerprints.extend(suspect.fingerprint for suspect in uncounted)
        for suspect in uncounted:
            self._count_death(data, index, command, suspect)
        return commands.CrashRecorded(quarantined=_quarantined_suspects(data, command))

    def target(self, command: commands.ReportCrash) -> str:
        """Return the server and the fingerprints."""
        fingerprints = " ".join(suspect.fingerprint.hex()[:16] for suspect in command.suspects)
        return f"{command.environment}/{command.server} {fingerprints}"

    def _count_death(
        self,
        data: statedata.StateData,
        index: int,
        command: commands.ReportCrash,
        suspect: commands.Suspect,
    ) -> None:
        suspicion = _read_suspicion(data, command.environment, suspect.fingerprint)
        deaths = 1 if suspicion is None else suspicion.deaths + 1
        # A later death that other requests shared proves nothing, unless this is the only request
        # in common with an earlier death.
        if suspicion is not None and not command.alone:
            if not _is_only_common_suspect(data, command, suspect.fingerprint):
                deaths = suspicion.deaths
        updated = configuration.Suspicion(
            suspect.customer,
            deaths,
            deaths >= QUARANTINE_DEATHS,
            data.at_ms + data.limits.quarantine_ms,
        )
        key = configuration.suspect_key(command.environment, suspect.fingerprint)
        data.put(key, index, msgspec.json.encode(updated))


@registry.plugins.register("command", "ClearSuspect")
class ClearSuspectHandler(SuspectHandler):
    """Ends the suspicion of a request that ran alone and finished."""

    def apply(
        self, data: statedata.StateData, index: int, command: commands.ClearSuspect
    ) -> commands.Outcome:
        """Remove the suspicion unless the request is quarantined."""
        _expire_suspicions(data, index, command.environment)
        suspicion = _read_suspicion(data, command.environment, command.fingerprint)
        if suspicion is not None and suspicion.quarantined:
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
        if _read_suspicion(data, command.environment, command.fingerprint) is None:
            return commands.Refused(code="not_quarantined", text="no such request")
        data.remove(configuration.suspect_key(command.environment, command.fingerprint), index)
        return commands.Accepted(index=index)


def _read_suspicion(
    data: statedata.StateData, environment: str, fingerprint: bytes
) -> configuration.Suspicion | None:
    value = data.get_value(configuration.suspect_key(environment, fingerprint))
    if value is None:
        return None
    return msgspec.json.decode(value, type=configuration.Suspicion)


def _quarantined_suspects(data: statedata.StateData, command: commands.ReportCrash) -> list[bytes]:
    found = []
    for suspect in command.suspects:
        suspicion = _read_suspicion(data, command.environment, suspect.fingerprint)
        if suspicion is not None and suspicion.quarantined:
            found.append(suspect.fingerprint)
    return found


def _crash_key(environment: str, server: str, incarnation: int) -> str:
    return f"{environment}/{server}/{incarnation}"


def _is_only_common_suspect(
    data: statedata.StateData, command: commands.ReportCrash, fingerprint: bytes
) -> bool:
    """Return whether an earlier death and this one have only this request in common.

    A death with a single known request is ignored: it may have been reported in part.
    """
    own_key = _crash_key(command.environment, command.server, command.incarnation)
    own_fingerprints = set(data.crashes[own_key].fingerprints)
    if len(own_fingerprints) < 2:
        return False
    for key, crash in data.crashes.items():
        if key == own_key or not key.startswith(f"{command.environment}/"):
            continue
        if len(crash.fingerprints) >= 2 and own_fingerprints.intersection(crash.fingerprints) == {
            fingerprint
        }:
            return True
    return False


def _drop_old_crashes(data: statedata.StateData, before_ms: int) -> None:
    for key in [key for key, crash in data.crashes.items() if crash.at_ms < before_ms]:
        del data.crashes[key]


def _expire_suspicions(data: statedata.StateData, index: int, environment: str) -> None:
    prefix = f"{environment}/suspects/"
    for key in [key for key in data.items if key.startswith(prefix)]:
        value = data.get_value(key)
        if value is None:
            continue
        if msgspec.json.decode(value, type=configuration.Suspicion).until_ms < data.at_ms:
            data.remove(key, index)
