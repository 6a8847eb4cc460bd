"""Control hosts whose disks are full for some seconds, one after the other."""

import itertools
import json
import threading
import time

import pytest

import platformsystem

# The bound on the acknowledgement of a change while a majority of the control hosts has room.
ACK_S = 5.0
# Longer than a voter may be silent before a learner takes its place.
FULL_S = 4.5
ROUTES = [platformsystem.route("look", "/look/", "safe")]


class Operator:
    """Sends changes to any control host until one acknowledges each.

    Attributes:
        latest: The version that was acknowledged last.
        slowest_s: The longest time until an acknowledgement.
    """

    def __init__(self, system):
        self.system = system
        self.latest = 1
        self.slowest_s = 0.0
        self.stopped = threading.Event()
        self.thread = threading.Thread(target=self.send_regularly)

    def send_regularly(self):
        while not self.stopped.wait(0.2):
            self.send()

    def send(self):
        """Send one change, and again to the next host while it is not acknowledged."""
        started_at = time.monotonic()
        content = platformsystem.manifest(self.latest + 1, ROUTES)
        for node in itertools.cycle(self.system.controls):
            if self.system.call_control("PUT", "/api/config", content, node)[0] == 200:
                break
            time.sleep(0.05)
            if time.monotonic() - started_at > 3 * ACK_S:
                break
        else:
            return
        self.latest += 1
        self.slowest_s = max(self.slowest_s, time.monotonic() - started_at)

    def stop(self):
        self.stopped.set()
        self.thread.join()


# Guards against control hosts that refuse changes, or leave them unanswered, long after the last of
# some disks that were full in turn has room again. A fourth host takes a silent voter's place.
@pytest.mark.parametrize("controls", [3, 4])
def test_changes_are_acknowledged_while_and_after_disks_are_full_in_turn(tmp_path, controls):
    system = platformsystem.System(tmp_path, controls=controls, fillable=True)
    try:
        system.publish(platformsystem.manifest(1, ROUTES))
        operator = Operator(system)
        operator.thread.start()
        for node in system.controls + system.controls[:1]:
            node.fill_disk()
            time.sleep(FULL_S)
            node.fill_disk(False)
        operator.stop()
        assert operator.slowest_s < ACK_S
        operator.slowest_s = 0.0
        for _ in range(5):
            operator.send()
        assert operator.slowest_s < ACK_S
        for node in system.controls:
            assert node.process.poll() is None
            platformsystem.wait_for(
                lambda node=node: _read_version(system, node) == operator.latest, node.name
            )
            assert node.events("disk_full")
    finally:
        system.close()


def _read_version(system, node):
    status, body = system.call_control("GET", "/api/config", node=node)
    return json.loads(body)["version"] if status == 200 else None
