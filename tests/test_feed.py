"""The entry host's lease: it starts at the request and is never granted on an older index."""

import curio
import pytest

from ebonywheel import clock, configuration, exceptions, feed, kernel, messages, settings

HOST = settings.HostSettings("entry-1", "puget", "127.0.0.1:1", "127.0.0.1:2", "secret")
PEERS = [settings.Peer("control-1", "yakima", "127.0.0.1:3")]


class FakeLink:
    """Responds to each call with a grant, after a delay in seconds."""

    def __init__(self, time_source, grant, delay_s=0.0):
        self.clock = time_source
        self.grant = grant
        self.delay_s = delay_s

    async def call(self, message, timeout_s):
        self.clock.advance(self.delay_s)
        return self.grant


def make_feed(grant, delay_s=0.0):
    time_source = clock.ManualClock()
    core = kernel.Kernel("entry", HOST, b"secret", time_source)
    entry_feed = feed.Feed(core, settings.EntrySettings(HOST, "trial", PEERS, "secret"))
    entry_feed.links = [FakeLink(time_source, grant, delay_s)]
    return entry_feed


def renew_lease(entry_feed):
    curio.run(entry_feed._renew_once, entry_feed.core.clock.monotonic())


def make_out_of_service_item(index, removed=False):
    return messages.ConfigItem(configuration.out_key("trial", "puget"), index, b"true", removed)


class TestLease:
    @pytest.mark.parametrize(("delay_s", "holds_lease"), [(0.0, True), (2.9, True), (3.1, False)])
    def test_lease_starts_at_the_request(self, delay_s, holds_lease):
        entry_feed = make_feed(messages.LeaseGrant(5, 3000, [], True), delay_s)
        renew_lease(entry_feed)
        assert entry_feed.holds_lease() is holds_lease

    def test_lease_expires_without_renewal(self):
        entry_feed = make_feed(messages.LeaseGrant(5, 3000, [], True))
        renew_lease(entry_feed)
        entry_feed.core.clock.advance(3.0)
        with pytest.raises(exceptions.NotRunError):
            entry_feed.require_lease()

    def test_grant_with_an_older_index_is_refused(self):
        entry_feed = make_feed(messages.LeaseGrant(5, 3000, [make_out_of_service_item(5)], True))
        renew_lease(entry_feed)
        entry_feed.core.clock.advance(3.0)
        entry_feed.links[0].grant = messages.LeaseGrant(
            4, 3000, [make_out_of_service_item(4, True)], False
        )
        with pytest.raises(exceptions.LinkError):
            renew_lease(entry_feed)
        assert entry_feed.current.index == 5
        assert entry_feed.current.out == {"puget"}
        assert not entry_feed.holds_lease()

    def test_no_lease_before_the_first_grant_or_while_draining(self):
        entry_feed = make_feed(messages.LeaseGrant(5, 3000, [], True))
        assert not entry_feed.holds_lease()
        renew_lease(entry_feed)
        entry_feed.draining = True
        assert not entry_feed.holds_lease()

    def test_unreadable_configuration_gives_no_lease(self):
        unreadable_item = messages.ConfigItem(
            "trial/document/engines/planner", 5, b'{"colour":"red"}'
        )
        entry_feed = make_feed(messages.LeaseGrant(5, 3000, [unreadable_item], True))
        with pytest.raises(exceptions.LinkError):
            renew_lease(entry_feed)
        assert not entry_feed.holds_lease()

    def test_work_for_a_data_centre_out_of_service_is_refused(self):
        entry_feed = make_feed(messages.LeaseGrant(5, 3000, [make_out_of_service_item(5)], True))
        renew_lease(entry_feed)
        entry_feed.require_in_service("yakima", "send")
        with pytest.raises(exceptions.NotRunError):
            entry_feed.require_in_service("puget", "send")


class TestNearestControlHost:
    def test_nearest_control_host_is_retried_after_the_interval(self):
        entry_feed = make_feed(messages.LeaseGrant(5, 3000, [], True))
        entry_feed.links = entry_feed.links * 2
        entry_feed._use_next_link()
        entry_feed._retry_nearest_link(entry_feed.core.clock.monotonic())
        assert entry_feed.link_index == 1
        entry_feed.core.clock.advance(feed.NEAREST_RETRY_INTERVAL_S)
        entry_feed._retry_nearest_link(entry_feed.core.clock.monotonic())
        assert entry_feed.link_index == 0
