"""Planned stops: series of signals to a host, which must end by itself."""

import pathlib
import signal
import subprocess
import threading
import time

# A host has to end this long after the first signal that stops it.
LIMIT_S = 8.0
MAX_PAUSE_S = 1.0
TERM, INT, HUP = signal.SIGTERM, signal.SIGINT, signal.SIGHUP
SERIES = (
    (TERM,),
    (TERM, TERM),
    (TERM, TERM, TERM, TERM),
    (TERM, INT),
    (INT, TERM),
    (TERM, HUP, HUP),
    (HUP, TERM, HUP, TERM),
)


def processor_times(pid):
    """Return how long a process has run, and waited for a processor, in seconds."""
    ran_ns, waited_ns, _ = pathlib.Path(f"/proc/{pid}/schedstat").read_text().split()
    return int(ran_ns) / 1e9, int(waited_ns) / 1e9


class Stop(threading.Thread):
    """One stop of a host.

    Attributes:
        process: The process that ends; the host may get another one afterwards.
        started: True if it had started before; until then it serves nothing, and may just end.
        series: The signals to send, in order.
        pauses_s: How long to wait after each of them.
        ended: Set once the process has ended.
    """

    def __init__(self, node, ledger, draws):
        super().__init__(daemon=True)
        self.node = node
        self.process = node.process
        started = node.events("started")
        self.started = any(entry["pid"] == self.process.pid for entry in started)
        self.ledger = ledger
        self.series = draws.choice(SERIES)
        self.pauses_s = [draws.choice([0.0, draws.uniform(0.0, MAX_PAUSE_S)]) for _ in self.series]
        self.ended = threading.Event()

    def run(self):
        limit = time.monotonic() + LIMIT_S
        ran_before_s, waited_before_s = processor_times(self.process.pid)
        for number, pause_s in zip(self.series, self.pauses_s, strict=True):
            if self.process.poll() is None:
                self.process.send_signal(number)
            time.sleep(pause_s)
        try:
            code = self.process.wait(max(0.0, limit - time.monotonic()))
        except subprocess.TimeoutExpired:
            ran_s, waited_s = processor_times(self.process.pid)
            self.breach(
                f"still runs after {LIMIT_S} s, of which it ran {ran_s - ran_before_s:.1f} s and "
                f"waited for a processor {waited_s - waited_before_s:.1f} s"
            )
            self.ledger.disturbances.begin(self.node)
            self.process.kill()
            self.process.wait()
        else:
            if code != 0 and self.started:
                self.breach(f"exit code {code}")
        self.ended.set()

    def breach(self, detail):
        self.ledger.breach("a stop ends by itself", "", self.node.name, f"{detail}, {self}")

    def __str__(self):
        steps = zip(self.series, self.pauses_s, strict=True)
        return ", ".join(f"{number.name} {pause_s:.2f} s" for number, pause_s in steps)
