"""Planned stops: series of signals to a host, which must end by itself."""

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


class Stop(threading.Thread):
    """One stop of a host.

    Attributes:
        process: The process that ends; the host may get another one afterwards.
        series: The signals to send, in order.
        pauses_s: How long to wait after each of them.
        ended: Set once the process has ended.
    """

    def __init__(self, node, ledger, draws):
        super().__init__(daemon=True)
        self.node = node
        self.process = node.process
        self.ledger = ledger
        self.series = draws.choice(SERIES)
        self.pauses_s = [draws.choice([0.0, draws.uniform(0.0, MAX_PAUSE_S)]) for _ in self.series]
        self.ended = threading.Event()

    def run(self):
        limit = time.monotonic() + LIMIT_S
        for number, pause_s in zip(self.series, self.pauses_s, strict=True):
            if self.process.poll() is None:
                self.process.send_signal(number)
            time.sleep(pause_s)
        try:
            code = self.process.wait(max(0.0, limit - time.monotonic()))
        except subprocess.TimeoutExpired:
            self.breach(f"still runs after {LIMIT_S} s")
            self.ledger.disturbances.begin(self.node)
            self.process.kill()
            self.process.wait()
        else:
            if code != 0:
                self.breach(f"exit code {code}")
        self.ended.set()

    def breach(self, detail):
        self.ledger.breach("a stop ends by itself", "", self.node.name, f"{detail}, {self}")

    def __str__(self):
        steps = zip(self.series, self.pauses_s, strict=True)
        return ", ".join(f"{number.name} {pause_s:.2f} s" for number, pause_s in steps)
