"""The entry host's lease: counted from the asking, never on an older index."""

import curio
import pytest

from ebonywheel import clock, configuration, exceptions, feed, kernel, messages, settings

HOST = settings.HostSettings("entry-1", "puget", "127.0.0.1:1", "127.0.0.1:2", "secret")
PEERS = [settings.Peer("control-1", "yakima", "127.0.0.1:3")]


class FakeLink:
    """Answers each call with a grant, some time after it was asked."""

    def __init__(self, time_source, grant, after_s=0.0):
        self.clock = time_source
        self.grant = grant
        self.after_s = after_s

    async def call(self, message, timeout_s):
        self.clock.advance(self.after_s)
        return self.grant


def make_feed(grant, after_s=0.0):
    time_source = clock.ManualClock()
    core = kernel.Kernel("entry", HOST, b"secret", time_source)
    made = feed.Feed(core, settings.EntrySettings(HOST, "trial", PEERS, "secret"))
    made.links = [FakeLink(time_source, grant, after_s)]
    return made


def renew(made):
    curio.run(made._renew_once, made.core.clock.monotonic())


def out_item(index, removed=False):
    return messages.ConfigItem(configuration.out_key("trial", "puget"), index, b"true", removed)


class TestLease:
    @pytest.mark.parametrize(("after_s", "held"), [(0.0, True), (2.9, True), (3.1, False)])
    def test_lease_counts_from_the_asking(self, after_s, held):
        made = make_feed(messages.LeaseGrant(5, 3000, [], True), after_s)
        renew(made)
        assert made.holds_lease() is held

    def test_lease_ends_by_itself(self):
        made = make_feed(messages.LeaseGrant(5, 3000, [], True))
        renew(made)
        made.core.clock.advance(3.0)
        with pytest.raises(exceptions.NotRunError):
            made.require_lease()

    def test_index_below_the_one_in_use_is_refused(self):
        made = make_feed(messages.LeaseGrant(5, 3000, [out_item(5)], True))
        renew(made)
        made.core.clock.advance(3.0)
        made.links[0].grant = messages.LeaseGrant(4, 3000, [out_item(4, True)], False)
        with pytest.raises(exceptions.LinkError):
            renew(made)
        assert made.current.index == 5
        assert made.current.out == {"puget"}
        assert not made.holds_lease()

    def test_no_lease_before_the_first_grant_and_none_while_draining(self):
        made = make_feed(messages.LeaseGrant(5, 3000, [], True))
        assert not made.holds_lease()
        renew(made)
        made.draining = True
        assert not made.holds_lease()

    def test_configuration_that_cannot_be_read_gives_no_lease(self):
        newer = messages.ConfigItem("trial/document/engines/planner", 5, b'{"colour":"red"}')
        made = make_feed(messages.LeaseGrant(5, 3000, [newer], True))
        with pytest.raises(exceptions.LinkError):
            renew(made)
        assert not made.holds_lease()

    def test_data_centre_out_of_service_is_refused_before_sending(self):
        made = make_feed(messages.LeaseGrant(5, 3000, [out_item(5)], True))
        renew(made)
        made.require_in_service("yakima", "send")
        with pytest.raises(exceptions.NotRunError):
            made.require_in_service("puget", "send")


class TestNearest:
    def test_nearest_control_host_is_asked_again_after_a_while(self):
        made = make_feed(messages.LeaseGrant(5, 3000, [], True))
        made.links = made.links * 2
        made._prefer_next()
        made._prefer_nearest(made.core.clock.monotonic())
        assert made.preferred == 1
        made.core.clock.advance(feed.RETURN_S)
        made._prefer_nearest(made.core.clock.monotonic())
        assert made.preferred == 0
