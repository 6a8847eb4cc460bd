"""Structured log lines: one JSON object a line on standard output, never waited for.

Each kind of line has its own rate, so that one event under load cannot hide the others; how many
were left out stands in the next line of the kind. Lines about failures count apart from those
about successes.
"""

import collections
import logging
import os
import sys
import time

import logbook
import msgspec

# Lines a second for each kind: beyond them an engineer reads counters, not lines.
LINES_PER_S = 100.0
BURST_LINES = 300.0
# Bytes that wait while standard output takes none; lines beyond them are dropped.
MAX_PENDING_BYTES = 64 * 1024
MS_PER_S = 1000

_encode = msgspec.json.Encoder(enc_hook=str).encode


class StateLog:
    """A logger whose lines name an event and its fields.

    Attributes:
        part: Program that logs.
        host: Host that it runs on.
    """

    def __init__(self, part: str, host: str = ""):
        self.logger = logbook.Logger(part)
        self.host = host

    def info(self, event: str, **fields: object) -> None:
        """Log a decision or a change of what the process believes."""
        self.logger.info(event, extra=self._extra(fields))

    def warning(self, event: str, **fields: object) -> None:
        """Log a failure, or a change that an operator should see."""
        self.logger.warning(event, extra=self._extra(fields))

    def error(self, event: str, **fields: object) -> None:
        """Log a fault that ends something."""
        self.logger.error(event, extra=self._extra(fields))

    def _extra(self, fields: dict[str, object]) -> dict[str, object]:
        return {"node": self.host, **fields} if self.host else fields


class RateLimit:
    """How many lines of each kind may still be written.

    Attributes:
        dropped: Lines left out since the last one written, by kind.
    """

    def __init__(self, per_s: float = LINES_PER_S, burst: float = BURST_LINES):
        self.per_s = per_s
        self.burst = burst
        self.left: dict[str, tuple[float, float]] = {}
        self.dropped: collections.Counter[str] = collections.Counter()

    def admit(self, kind: str, now: float) -> bool:
        """Return whether a line may be written now; count it if not."""
        held, at = self.left.get(kind, (self.burst, now))
        held = min(self.burst, held + (now - at) * self.per_s)
        if held < 1.0:
            self.left[kind] = (held, now)
            self.dropped[kind] += 1
            return False
        self.left[kind] = (held - 1.0, now)
        return True


class Output:
    """A descriptor that is written to without waiting for its reader.

    Attributes:
        lost: Lines dropped since the last one written, because the reader does not read.
    """

    def __init__(self, descriptor: int):
        self.descriptor = descriptor
        self.pending = b""
        self.lost = 0
        os.set_blocking(descriptor, False)

    def write(self, line: bytes) -> bool:
        """Write a line, or keep it until the reader reads; return False where it was dropped."""
        if len(self.pending) + len(line) > MAX_PENDING_BYTES:
            self._flush()
        if len(self.pending) + len(line) > MAX_PENDING_BYTES:
            self.lost += 1
            return False
        self.pending += line
        self._flush()
        return True

    def _flush(self) -> None:
        try:
            while self.pending:
                self.pending = self.pending[os.write(self.descriptor, self.pending) :]
        except OSError:
            # The reader is behind, or gone; what waits is bounded.
            return


class JsonHandler(logbook.Handler):
    """Writes records as JSON lines."""

    def __init__(self, output: Output, level: str):
        super().__init__(level=level)
        self.output = output
        self.rates = RateLimit()

    def emit(self, record: logbook.LogRecord) -> None:
        """Write one record, within its kind's rate."""
        kind = f"{record.level_name}:{record.msg}"
        if not self.rates.admit(kind, time.monotonic()):
            return
        line: dict[str, object] = {
            "at_ms": int(time.time() * MS_PER_S),
            "level": record.level_name.lower(),
            "part": record.channel,
            "event": record.msg,
            **record.extra,
        }
        left_out = self.rates.dropped.pop(kind, 0) + self.output.lost
        if left_out:
            line["left_out"] = left_out
        if self.output.write(_encode(line) + b"\n"):
            self.output.lost = 0


def handler(level: str) -> logbook.Handler:
    """Return the process's log handler.

    Args:
        level: A logbook level name, such as ``INFO``.
    """
    # The event loop prints the traceback of each failed task; whoever joins it reports it instead.
    logging.getLogger("curio").setLevel(logging.CRITICAL)
    return JsonHandler(Output(sys.stdout.fileno()), level)
