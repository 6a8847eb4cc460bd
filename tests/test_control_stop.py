"""Control hosts that stop while changes are in progress."""

import http.client
import json
import signal
import time

import platformsystem

ROUTES = [platformsystem.route("look", "/look/", "safe")]
FROZEN_S = 1.0


# Guards against a change that was passed on and whose connection a stopping host closes without an
# answer.
def test_a_stopping_control_host_answers_changes_in_progress(tmp_path):
    system = platformsystem.System(tmp_path, entries=0)
    try:
        system.publish(platformsystem.manifest(1, ROUTES))
        node, *others = system.controls
        connection = http.client.HTTPConnection(
            node.ip, platformsystem.CONTROL_PORT, timeout=platformsystem.WAIT_S
        )
        for other in others:
            other.process.send_signal(signal.SIGSTOP)
        content = json.dumps(platformsystem.manifest(2, ROUTES)).encode()
        connection.request("PUT", "/api/config", content)
        time.sleep(0.2)
        node.process.send_signal(signal.SIGTERM)
        time.sleep(FROZEN_S)
        for other in others:
            other.process.send_signal(signal.SIGCONT)
        assert connection.getresponse().status in (200, 503)
        connection.close()
        assert node.process.wait(timeout=platformsystem.WAIT_S) == 0
    finally:
        system.close()
