"""Reservation of one server for a suspect request."""

import pytest

from ebonywheel import exceptions, isolation, messages


def ask(reservation, server="s1", alone=False, used=1, now=0.0):
    reservation.check_or_reserve(messages.Borrow("loan", server=server, alone=alone), used, now)


@pytest.fixture
def reservation():
    """Return a reservation of s1 for a suspect that found it busy."""
    created = isolation.Isolation()
    ask(created, alone=True)
    return created


class TestReservation:
    def test_other_work_is_refused_only_at_the_reserved_server(self, reservation):
        with pytest.raises(exceptions.NotRunError, match="server is reserved"):
            ask(reservation)
        ask(reservation, "s2")

    def test_only_one_server_is_reserved_at_a_time(self, reservation):
        ask(reservation, "s2", alone=True)
        ask(reservation, "s2")

    def test_ends_when_the_suspect_finds_the_server_empty(self, reservation):
        ask(reservation, alone=True, used=0)
        ask(reservation)

    def test_expires_when_the_suspect_stops_asking(self, reservation):
        ask(reservation, now=isolation.RESERVATION_S)

    def test_asking_again_extends_it(self, reservation):
        ask(reservation, alone=True, now=2.0)
        with pytest.raises(exceptions.NotRunError):
            ask(reservation, now=isolation.RESERVATION_S + 1.0)
