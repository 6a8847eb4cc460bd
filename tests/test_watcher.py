"""Watching of control hosts, with links that are scripted."""

import types

import curio
import pytest

from ebonywheel import exceptions, kernel, messages, settings, watcher


class View:
    """Raises an error for the first reply, and takes the others.

    Attributes:
        taken: Positions of the replies that it took.
    """

    def __init__(self, error):
        self.error = error
        self.taken = []

    def watch_request(self, nearest):
        return messages.WatchRequest()

    def distance(self, data_centre):
        return 0.0

    async def update(self, request, reply, connection, asked_at):
        if self.error is not None:
            error, self.error = self.error, None
            raise error
        self.taken.append(reply.seen)


class Link:
    """Answers each watch; the position grows."""

    name = "control"
    peer = types.SimpleNamespace(data_centre="puget")

    def __init__(self):
        self.seen = 0

    async def call(self, message, timeout_s):
        self.seen += 1
        return messages.WatchReply(epoch=1, seen=self.seen)

    async def close(self):
        return


# Guards against a host that ends by itself, with all its callers' requests, for one reply that it
# cannot use.
def test_a_reply_that_cannot_be_used_is_asked_for_again():
    host = settings.HostSettings("entry-1", "puget", "", "", "")
    core = kernel.Kernel("entry", host, b"")
    view = View(ValueError("odd record"))
    watched = watcher.Watcher(core, view)
    position = watched.positions["control"] = watcher.WatchPosition(0.0)

    async def run():
        link = Link()
        await watched._watch_once(link, position)
        assert (position.connected, position.seen) == (False, 0)
        await watched._watch_once(link, position)
        # The members that a reply names are watched, too.
        await core.cancel_tasks()

    curio.run(run)
    assert (position.connected, view.taken) == (True, [2])


class OddLink(Link):
    """Answers after a time, or not at all."""

    def __init__(self, error=None, delay_s=0.0):
        super().__init__()
        self.error = error
        self.delay_s = delay_s

    async def call(self, message, timeout_s):
        await curio.sleep(self.delay_s)
        if self.error is not None:
            raise self.error
        return await super().call(message, timeout_s)


# Guards against a host that takes what it knows for all that is known, though another control host
# did not tell what it knows.
@pytest.mark.parametrize(
    ("links", "all_answered", "taken"),
    [
        ([], True, 0),
        ([Link(), Link()], True, 2),
        ([Link(), None], False, 1),
        ([OddLink(exceptions.LinkError("closed", "read", "control")), Link()], False, 1),
        ([OddLink(delay_s=600.0), Link()], False, 1),
    ],
)
def test_a_refresh_tells_whether_all_have_answered(monkeypatch, links, all_answered, taken):
    # Long enough for a busy machine; the slow link takes longer.
    monkeypatch.setattr(watcher, "REFRESH_TIMEOUT_S", 2.0)
    host = settings.HostSettings("control-1", "puget", "", "", "")
    view = View(None)
    watched = watcher.Watcher(kernel.Kernel("control", host, b""), view)
    for number, scripted in enumerate(links):
        position = watched.positions[f"control-{number}"] = watcher.WatchPosition(0.0)
        position.connection, position.connected = scripted, scripted is not None
    assert curio.run(watched.refresh) == all_answered
    assert len(view.taken) == taken
