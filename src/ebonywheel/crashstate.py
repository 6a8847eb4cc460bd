"""Command handlers that find out which requests of gateways crash backend servers.

Such requests may differ from each other but for one thing, for example one part of their prompts.
Whatever requests may have in common has a fingerprint. A fingerprint becomes suspect when a server
crashes under a request with it, and gateways report the next request with it that succeeds. When
servers crash again and no request succeeds in between, the fingerprint is quarantined: all gateways
refuse requests that have it.
"""

import collections
import collections.abc

from ebonywheel import commands, registry, statedata

# Crashes that quarantine a fingerprint, and a smaller number of them if the answers to its requests
# had just begun each time: few of the other requests in flight are at that point.
MIN_CRASHES = 3
MIN_CRASHES_AT_BEGINNING = 2
# Crashes within this time of each other count as one, as they may have another cause in common.
COMMON_CAUSE_MS = 100
# Older crashes no longer count.
MAX_EVIDENCE_AGE_MS = 600_000
MAX_CRASHES = 64
MAX_REQUESTS_PER_CRASH = 64
MAX_ENTRIES = 256
MAX_SUSPECTS = 256


class Evidence:
    """The crashes that count against a fingerprint.

    Attributes:
        depth: Its highest position among the fingerprints of a request; higher is more specific.
        crash_times: Replicated times of the crashes, milliseconds.
        beginning_times: The same for requests whose answers had just begun.
        whole_request_crashes: Numbers of the crashes, however close together, in which it stood
            for a whole request.
    """

    __slots__ = ("depth", "crash_times", "beginning_times", "whole_request_crashes")

    def __init__(self):
        self.depth = 0
        self.crash_times: set[int] = set()
        self.beginning_times: set[int] = set()
        self.whole_request_crashes: set[int] = set()

    def suffices(self, further_crashes: int = 0) -> bool:
        """Return whether the fingerprint is to be quarantined, after some further crashes."""
        return (
            _count_separate(self.crash_times) + further_crashes >= MIN_CRASHES
            or _count_separate(self.beginning_times) + further_crashes >= MIN_CRASHES_AT_BEGINNING
        )

    def is_suspect(self) -> bool:
        """Return whether requests with the fingerprint are to be sent one at a time.

        Equal requests that crash servers at the same moment count as one crash, and would do so
        each time if they were sent together again.
        """
        return self.suffices(further_crashes=1) or len(self.whole_request_crashes) >= MIN_CRASHES


@registry.plugins.register("command", "ReportServerCrash")
class ReportServerCrashHandler:
    """Adds a gateway's evidence on a crash, and quarantines what caused too many."""

    def apply(
        self, data: statedata.StateData, index: int, command: commands.ReportServerCrash
    ) -> commands.Outcome:
        """Merge the report with other gateways' reports of the same crash."""
        _drop_outdated(data)
        crash = _find_or_add_crash(data, command)
        for request in command.requests:
            if request not in crash.requests and len(crash.requests) < MAX_REQUESTS_PER_CRASH:
                crash.requests.append(request)
        data.quarantine.index = index
        found = _quarantine_causes(data, index)
        _release_explained(data, index)
        return commands.CrashRecorded(quarantined=found)

    def target(self, command: commands.ReportServerCrash) -> str:
        """Return the server."""
        return f"{command.server}/{command.incarnation}"


@registry.plugins.register("command", "ReportSuccess")
class ReportSuccessHandler:
    """Clears fingerprints of a request that its backend server survived."""

    def apply(
        self, data: statedata.StateData, index: int, command: commands.ReportSuccess
    ) -> commands.Outcome:
        """Drop older evidence; release what was quarantined for crashes of which some are older."""
        quarantine = data.quarantine
        _drop_outdated(data)
        began_ms = data.at_ms - command.age_ms
        suspected = _find_suspected(quarantine)
        for fingerprint in command.fingerprints:
            entry = quarantine.entries.get(fingerprint)
            if entry is not None and began_ms > entry.since_ms:
                del quarantine.entries[fingerprint]
                quarantine.entries_index = index
            if fingerprint in suspected:
                latest_ms = max(began_ms, quarantine.succeeded_ms.get(fingerprint, 0))
                quarantine.succeeded_ms[fingerprint] = latest_ms
        quarantine.index = index
        return commands.Accepted(index=index)

    def target(self, command: commands.ReportSuccess) -> str:
        """Return the fingerprints."""
        return " ".join(fingerprint.hex() for fingerprint in command.fingerprints)


def find_suspects(quarantine: statedata.QuarantineState) -> dict[bytes, int]:
    """Return the fingerprints that are not quarantined but may crash servers.

    Returns:
        The replicated time of the latest crash, in milliseconds, by fingerprint.
    """
    suspects = {
        fingerprint: max(evidence.crash_times)
        for fingerprint, evidence in _gather_evidence(quarantine).items()
        if evidence.is_suspect()
    }
    latest = sorted(suspects, key=suspects.get)[-MAX_SUSPECTS:]
    return {fingerprint: suspects[fingerprint] for fingerprint in latest}


def _find_or_add_crash(
    data: statedata.StateData, command: commands.ReportServerCrash
) -> statedata.ServerCrash:
    crashes = data.quarantine.crashes
    at_ms = data.at_ms - command.age_ms
    crash = crashes.setdefault(
        f"{command.server}/{command.incarnation}", statedata.ServerCrash(at_ms)
    )
    crash.at_ms = min(crash.at_ms, at_ms)
    while len(crashes) > MAX_CRASHES:
        del crashes[next(iter(crashes))]
    return crash


def _quarantine_causes(data: statedata.StateData, index: int) -> list[bytes]:
    """Quarantine fingerprints until the other crashes need no more causes; return the new ones."""
    quarantine = data.quarantine
    found = []
    evidence = _gather_evidence(quarantine)
    while (fingerprint := _find_cause(evidence)) is not None:
        found.append(fingerprint)
        quarantine.entries[fingerprint] = statedata.QuarantineEntry(
            min(evidence[fingerprint].crash_times), data.at_ms + data.limits.quarantine_ms
        )
        # The crashes that it explains do not count against other fingerprints any more.
        evidence = _gather_evidence(quarantine)
    while len(quarantine.entries) > MAX_ENTRIES:
        del quarantine.entries[next(iter(quarantine.entries))]
    if found:
        quarantine.entries_index = index
    return found


def _release_explained(data: statedata.StateData, index: int) -> None:
    """Release fingerprints all of whose crashes are explained by others with more crashes.

    A gateway that was cut off reports late, and the other requests in flight are blamed until then.
    """
    quarantine = data.quarantine
    crashes = {
        fingerprint: {
            key for key, crash in quarantine.crashes.items() if _is_explained(crash, (fingerprint,))
        }
        for fingerprint in quarantine.entries
    }
    explained: set[str] = set()
    for fingerprint in sorted(crashes, key=lambda each: (-len(crashes[each]), each)):
        if crashes[fingerprint] and crashes[fingerprint] <= explained:
            del quarantine.entries[fingerprint]
            quarantine.entries_index = index
        explained |= crashes[fingerprint]


def _find_cause(evidence_by_fingerprint: dict[bytes, Evidence]) -> bytes | None:
    """Return the most specific fingerprint with sufficient evidence.

    The more general ones of the same requests were in the same crashes and may be innocent. If one
    of them is the cause, crashes go on and count against it alone.
    """
    causes = [
        (evidence.depth, len(evidence.crash_times), fingerprint)
        for fingerprint, evidence in evidence_by_fingerprint.items()
        if evidence.suffices()
    ]
    return max(causes)[2] if causes else None


def _gather_evidence(quarantine: statedata.QuarantineState) -> dict[bytes, Evidence]:
    found: dict[bytes, Evidence] = collections.defaultdict(Evidence)
    for number, crash in enumerate(quarantine.crashes.values()):
        if _is_explained(crash, quarantine.entries):
            continue
        for request in _suspected_requests(crash):
            for depth, fingerprint in enumerate(request.fingerprints):
                if crash.at_ms <= quarantine.succeeded_ms.get(fingerprint, 0):
                    continue
                evidence = found[fingerprint]
                evidence.depth = max(evidence.depth, depth)
                evidence.crash_times.add(crash.at_ms)
                if fingerprint == request.fingerprints[-1]:
                    evidence.whole_request_crashes.add(number)
                if request.began:
                    evidence.beginning_times.add(crash.at_ms)
    return found


def _suspected_requests(crash: statedata.ServerCrash) -> list[commands.InFlightRequest]:
    """Return the requests whose answers had just begun, or all if there was none."""
    return [request for request in crash.requests if request.began] or crash.requests


def _find_suspected(quarantine: statedata.QuarantineState) -> set[bytes]:
    """Return the fingerprints of all requests that may have caused a recent crash."""
    return {
        fingerprint
        for crash in quarantine.crashes.values()
        for request in crash.requests
        for fingerprint in request.fingerprints
    }


def _count_separate(times_ms: collections.abc.Iterable[int]) -> int:
    """Return the number of crashes, counting those that are close together once."""
    count = 0
    counted_ms = float("-inf")
    for at_ms in sorted(times_ms):
        if at_ms - counted_ms > COMMON_CAUSE_MS:
            count += 1
            counted_ms = at_ms
    return count


def _is_explained(crash: statedata.ServerCrash, causes: collections.abc.Container[bytes]) -> bool:
    """Return whether a request with one of some fingerprints may have caused a crash."""
    return any(
        fingerprint in causes
        for request in _suspected_requests(crash)
        for fingerprint in request.fingerprints
    )


def _drop_outdated(data: statedata.StateData) -> None:
    quarantine = data.quarantine
    oldest_ms = data.at_ms - MAX_EVIDENCE_AGE_MS
    ended = {
        fingerprint
        for fingerprint, entry in quarantine.entries.items()
        if entry.until_ms <= data.at_ms
    }
    for fingerprint in ended:
        del quarantine.entries[fingerprint]
    quarantine.crashes = {
        key: crash
        for key, crash in quarantine.crashes.items()
        if crash.at_ms >= oldest_ms and not _is_explained(crash, ended)
    }
    suspected = _find_suspected(quarantine)
    quarantine.succeeded_ms = {
        fingerprint: at_ms
        for fingerprint, at_ms in quarantine.succeeded_ms.items()
        if fingerprint in suspected
    }
