"""Structured logging: one JSON object per line on standard output, written without blocking.

Each kind of line, that is each level and event, has its own rate limit, so that a frequent event
cannot suppress others, nor successes suppress failures. The next line of a kind gives the number
that were left out.
"""

import collections
import logging
import os
import sys
import time

import logbook
import msgspec

# Limits for each kind of line: at higher rates an engineer reads counters, not lines.
LINES_PER_S = 100.0
BURST_LINES = 300.0
# Buffer for standard output that is not being read; lines that do not fit are dropped.
MAX_PENDING_BYTES = 64 * 1024
MS_PER_S = 1000

_encode = msgspec.json.Encoder(enc_hook=str).encode


class EventLogger:
    """A logger of events with named fields.

    Attributes:
        logger: Logger named after the program.
        host: Name of the host, added to each line; empty to leave it out.
    """

    def __init__(self, program: str, host: str = ""):
        self.logger = logbook.Logger(program)
        self.host = host

    def info(self, event: str, **fields: object) -> None:
        """Log a decision or a change of the process's state."""
        self.logger.info(event, extra=self._extra(fields))

    def warning(self, event: str, **fields: object) -> None:
        """Log a failure, or a change that an operator should see."""
        self.logger.warning(event, extra=self._extra(fields))

    def error(self, event: str, **fields: object) -> None:
        """Log a fault that ends a task, a request or the process."""
        self.logger.error(event, extra=self._extra(fields))

    def _extra(self, fields: dict[str, object]) -> dict[str, object]:
        return {"node": self.host, **fields} if self.host else fields


class RateLimit:
    """A token bucket for each kind of log line.

    Attributes:
        buckets: Tokens left and time of the last update, by kind.
        dropped: Lines left out since the last one written, by kind.
    """

    def __init__(self, lines_per_s: float = LINES_PER_S, burst_lines: float = BURST_LINES):
        self.lines_per_s = lines_per_s
        self.burst_lines = burst_lines
        self.buckets: dict[str, tuple[float, float]] = {}
        self.dropped: collections.Counter[str] = collections.Counter()

    def admit(self, kind: str, now: float) -> bool:
        """Return whether a line may be written now; count it as dropped if not."""
        tokens, updated_at = self.buckets.get(kind, (self.burst_lines, now))
        tokens = min(self.burst_lines, tokens + (now - updated_at) * self.lines_per_s)
        if tokens < 1.0:
            self.buckets[kind] = (tokens, now)
            self.dropped[kind] += 1
            return False
        self.buckets[kind] = (tokens - 1.0, now)
        return True


class NonBlockingOutput:
    """A file descriptor that is written to without waiting for its reader.

    Attributes:
        pending: Bytes that the reader has not taken yet.
        dropped_lines: Lines dropped since the last one accepted, because `pending` was full.
    """

    def __init__(self, descriptor: int):
        self.descriptor = descriptor
        self.pending = b""
        self.dropped_lines = 0
        os.set_blocking(descriptor, False)

    def write(self, line: bytes) -> bool:
        """Write or buffer a line; return False if it was dropped."""
        if len(self.pending) + len(line) > MAX_PENDING_BYTES:
            self._flush()
        if len(self.pending) + len(line) > MAX_PENDING_BYTES:
            self.dropped_lines += 1
            return False
        self.pending += line
        self._flush()
        return True

    def _flush(self) -> None:
        try:
            while self.pending:
                self.pending = self.pending[os.write(self.descriptor, self.pending) :]
        except OSError:
            # The reader is slow or gone; `pending` is bounded.
            return


class JsonHandler(logbook.Handler):
    """A log handler that writes records as JSON lines."""

    def __init__(self, output: NonBlockingOutput, level: str):
        super().__init__(level=level)
        self.output = output
        self.rate_limit = RateLimit()

    def emit(self, record: logbook.LogRecord) -> None:
        """Write one record, unless its kind has exceeded its rate."""
        kind = f"{record.level_name}:{record.msg}"
        if not self.rate_limit.admit(kind, time.monotonic()):
            return
        line: dict[str, object] = {
            "at_ms": int(time.time() * MS_PER_S),
            "level": record.level_name.lower(),
            "part": record.channel,
            "event": record.msg,
            **record.extra,
        }
        left_out = self.rate_limit.dropped.pop(kind, 0) + self.output.dropped_lines
        if left_out:
            line["left_out"] = left_out
        if self.output.write(_encode(line) + b"\n"):
            self.output.dropped_lines = 0


def handler(level: str) -> logbook.Handler:
    """Return a log handler for standard output.

    Args:
        level: A logbook level name, such as ``INFO``.
    """
    # Curio logs the traceback of each failed task, but the code that joins the task reports it.
    logging.getLogger("curio").setLevel(logging.CRITICAL)
    return JsonHandler(NonBlockingOutput(sys.stdout.fileno()), level)
