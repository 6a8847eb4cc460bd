"""One server kept free for a suspect request."""

import pytest

from ebonywheel import exceptions, isolation, messages


def ask(kept, server="s1", alone=False, used=1, now=0.0):
    kept.check(messages.Borrow("loan", server=server, alone=alone), used, now)


@pytest.fixture
def kept():
    made = isolation.Isolation()
    ask(made, alone=True)
    return made


class TestKeptFree:
    def test_other_work_is_refused_there_and_only_there(self, kept):
        with pytest.raises(exceptions.NotRunError, match="kept free"):
            ask(kept)
        ask(kept, "s2")

    def test_one_server_at_a_time(self, kept):
        ask(kept, "s2", alone=True)
        ask(kept, "s2")

    def test_ends_when_the_suspect_has_its_server(self, kept):
        ask(kept, alone=True, used=0)
        ask(kept)

    def test_lapses_when_the_suspect_no_longer_asks(self, kept):
        ask(kept, now=isolation.KEPT_S)

    def test_asking_again_keeps_it(self, kept):
        ask(kept, alone=True, now=2.0)
        with pytest.raises(exceptions.NotRunError):
            ask(kept, now=isolation.KEPT_S + 1.0)
