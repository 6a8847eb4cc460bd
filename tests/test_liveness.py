"""Which servers that accept no connection count as ended, without a network."""

import types

import pytest

from ebonywheel import clock, directory, exceptions, messages
from ebonywheel.gateway import balance, liveness

SERVER = messages.DirectoryRecord("s1", 5, address="10.0.0.1:80")
OTHER = messages.DirectoryRecord("s2", 5, address="10.0.0.2:80")
SUCCESSOR = messages.DirectoryRecord("s3", 6, address=SERVER.address)
RESTARTED = messages.DirectoryRecord("s1", 6, address="10.0.0.3:80")
LONG_S = 10.0


class Host:
    """An entry host that cannot connect to a server, which reported just before that.

    Attributes:
        attempts: Its attempts.
    """

    def __init__(self, cause=None):
        self.clock = clock.ManualClock()
        self.state = balance.ServerState(heard_at=self.clock.now)
        self.directory = directory.Directory(self.clock)
        view = types.SimpleNamespace(directory=self.directory, state_of=lambda record: self.state)
        self.liveness = liveness.Liveness(types.SimpleNamespace(clock=self.clock), view)
        self.directory.observe(SERVER)
        self.attempts = liveness.FailedAttempts()
        self.error = exceptions.UpstreamError("no connection", "connect", SERVER.address)
        self.error.__cause__ = cause or ConnectionRefusedError()
        self.attempts.record(self.error, self.clock.now)

    def pass_time(self, seconds):
        """Let time pass, with a report of the other server at its end."""
        self.clock.advance(seconds)
        self.directory.observe(
            messages.DirectoryRecord(
                OTHER.server,
                OTHER.born_ms,
                address=OTHER.address,
                sequence=self.directory.position + 1,
            )
        )

    def report(self, **fields):
        """Receive a report of the server."""
        sequence = self.directory.position + 1
        self.directory.observe(
            messages.DirectoryRecord(
                SERVER.server, SERVER.born_ms, address=SERVER.address, sequence=sequence, **fields
            )
        )

    def takes_it_for_ended(self):
        return self.liveness.has_ended(SERVER, self.attempts)


# Guards against a single refused or lost attempt that counts as the end of a server.
@pytest.mark.parametrize(
    "cause", [ConnectionRefusedError(), ConnectionResetError(), TimeoutError()]
)
def test_a_first_failure_is_no_end(cause):
    assert not Host(cause).takes_it_for_ended()


def test_a_server_that_refuses_and_gives_no_sign_of_life_has_ended():
    host = Host()
    host.pass_time(balance.MAX_REPORT_AGE_S - 0.1)
    assert not host.takes_it_for_ended()
    host.pass_time(0.1)
    assert host.takes_it_for_ended()


# Guards against a server at its limit of connections that counts as ended.
def test_a_server_that_refuses_but_reports_has_not_ended():
    host = Host()
    for _ in range(10):
        host.pass_time(balance.MAX_REPORT_AGE_S / 2)
        host.report()
        assert not host.takes_it_for_ended()


def test_a_server_that_refuses_but_sends_over_other_connections_has_not_ended():
    host = Host()
    host.pass_time(LONG_S)
    host.state.heard_at = host.clock.now - liveness.MAX_UNHEARD_S + 0.1
    assert not host.takes_it_for_ended()


def test_a_server_that_cannot_be_reached_is_out_of_reach_though_it_reports():
    host = Host(TimeoutError())
    host.pass_time(liveness.MAX_UNHEARD_S)
    host.report()
    assert host.takes_it_for_ended()


def test_a_server_that_refused_once_can_be_reached():
    host = Host()
    host.error.__cause__ = TimeoutError()
    host.pass_time(liveness.MAX_UNHEARD_S)
    host.attempts.record(host.error, host.clock.now)
    host.report()
    assert not host.takes_it_for_ended()


# Guards against a host without a control host, to which all servers are silent.
def test_without_any_reports_silence_shows_nothing():
    host = Host()
    host.clock.advance(LONG_S)
    assert not host.takes_it_for_ended()


def test_a_server_that_drained_ends_as_it_leaves():
    host = Host()
    host.report(draining=True)
    host.directory.leave(SERVER.server, host.clock.now)
    host.pass_time(liveness.MAX_UNHEARD_S)
    assert host.takes_it_for_ended()


# Guards against a server that leaves without draining first: it works on for seconds, silently.
def test_a_server_that_left_without_draining_may_go_on():
    host = Host()
    host.directory.leave(SERVER.server, host.clock.now)
    host.pass_time(LONG_S)
    assert not host.takes_it_for_ended()


@pytest.mark.parametrize("newer", [SUCCESSOR, RESTARTED], ids=["same address", "same id"])
def test_a_server_whose_successor_reports_has_ended(newer):
    host = Host()
    host.directory.observe(newer)
    assert host.takes_it_for_ended()


def test_an_accepted_connection_ends_the_row_of_failures():
    host = Host()
    accepted = exceptions.UpstreamError("no answer", "wait", SERVER.address, True, timed_out=True)
    host.attempts.record(accepted, host.clock.now)
    host.pass_time(LONG_S)
    assert not host.takes_it_for_ended()
