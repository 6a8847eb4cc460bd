"""Accounts of held memory: shares, who is shed for whom, and what slow readers may leave unsent."""

import socket

import curio
import pytest

from ebonywheel import clock, exceptions, heldmemory, logs, metrics, outbox, sockets

LIMIT = 1_000_000


class Peer:
    """A holding that remembers whether it was shed."""

    def __init__(self, account, size, *groups):
        self.held = account.hold(*groups)
        self.shed = False
        self.fits = self.held.grow(size)
        self.held.wait(self._on_shed, 10.0)

    def _on_shed(self):
        self.shed = True


@pytest.fixture
def time_source():
    return clock.ManualClock()


@pytest.fixture
def account(time_source):
    log = logs.EventLogger("test")
    return heldmemory.Account("callers", LIMIT, time_source, metrics.Metrics(), log)


class TestRoom:
    def test_a_peer_that_is_alone_may_take_it_all(self, account):
        assert account.hold("address a").grow(LIMIT)
        assert not account.hold().grow(1)

    def test_no_address_takes_the_share_of_others(self, account):
        peers = [Peer(account, 100_000, "address a") for _ in range(10)]
        assert [peer.fits for peer in peers] == [True] * 5 + [False] * 5
        assert Peer(account, 200_000, "address b").fits

    def test_large_holdings_leave_room_for_small_ones(self, account):
        large = [Peer(account, 250_000, f"address {n}") for n in range(4)]
        assert [peer.fits for peer in large] == [True, True, True, False]
        assert all(Peer(account, 50_000, f"address {n}").fits for n in range(5))

    def test_what_is_released_is_room_again(self, account):
        for _ in range(100):
            held = account.hold("address a")
            assert held.grow(LIMIT)
            held.release()
        assert account.held == 0 and not account.groups and not account.waiting


class TestShedding:
    def test_peers_that_move_are_not_shed_for_others(self, account, time_source):
        peer = Peer(account, LIMIT)
        time_source.advance(heldmemory.STALL_S * 0.9)
        assert not Peer(account, 1000).fits
        assert not peer.shed

    def test_the_longest_without_progress_goes_first(self, account, time_source):
        peers = [Peer(account, LIMIT // 4, f"address {n}") for n in range(3)]
        time_source.advance(5.0)
        peers[0].held.progress(heldmemory.PROGRESS_BYTES)
        assert Peer(account, LIMIT // 4, "address 4").fits
        assert [peer.shed for peer in peers] == [False, True, False]

    def test_a_byte_now_and_then_is_no_progress(self, account, time_source):
        peer = Peer(account, LIMIT)
        for _ in range(20):
            time_source.advance(0.1)
            peer.held.progress(1)
        assert Peer(account, 1000).fits
        assert peer.shed
        assert not peer.held.grow(1)

    def test_only_those_in_a_full_share_are_shed_for_it(self, account, time_source):
        other = Peer(account, 50_000, "address b")
        peers = [Peer(account, 250_000, "address a") for _ in range(2)]
        time_source.advance(2.0)
        assert Peer(account, 250_000, "address a").fits
        assert [peer.shed for peer in peers] == [True, False]
        assert not other.shed

    def test_slow_peers_are_shed_after_their_time(self, account, time_source):
        slow, moving = Peer(account, 1000), Peer(account, 1000)
        time_source.advance(9.0)
        moving.held.progress(heldmemory.PROGRESS_BYTES)
        time_source.advance(1.0)
        account.shed_slow()
        assert (slow.shed, moving.shed) == (True, False)
        assert slow.held.shed_reason == heldmemory.TOO_SLOW


class TestSlowReaders:
    def run(self, account, scenario):
        near, far = socket.socketpair()
        near.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 8192)

        async def main():
            async with sockets.Socket(near) as sock, sockets.Socket(far) as reader:
                writer = outbox.Outbox(sock, "peer", account)
                try:
                    await scenario(writer, reader)
                finally:
                    await writer.close()
            assert account.held == 0

        curio.run(main)

    # Guards against tokens that are lost, doubled or out of order at a slow reader.
    def test_a_source_is_not_held_up_and_the_order_is_kept(self, account):
        parts = [b"%06d," % number * 20 for number in range(1000)]

        async def scenario(writer, reader):
            async with curio.timeout_after(5.0):
                for part in parts:
                    await writer.write(part)
            assert account.held == len(writer.unsent) > 0
            ending = await curio.spawn(writer.write_all, b"end")
            received = b""
            while not received.endswith(b"end"):
                received += await reader.recv(3000)
            await ending.join()
            assert received == b"".join(parts) + b"end"

        self.run(account, scenario)

    def test_a_source_waits_once_too_much_is_unsent(self, account):
        async def scenario(writer, reader):
            with pytest.raises(curio.TaskTimeout):
                async with curio.timeout_after(0.5):
                    while True:
                        await writer.write(bytes(10_000))
            assert len(writer.unsent) <= outbox.MAX_UNSENT_BYTES + 10_000

        self.run(account, scenario)

    def test_a_reader_that_takes_nothing_loses_its_connection(self, account):
        async def scenario(writer, reader):
            writer.full_timeout_s = 0.2
            with pytest.raises(exceptions.HttpError, match="does not read"):
                while True:
                    await writer.write(bytes(10_000))

        self.run(account, scenario)

    def test_a_slow_reader_is_shed_for_others(self, account, time_source):
        async def scenario(writer, reader):
            await writer.write(bytes(200_000))
            time_source.advance(2.0)
            assert Peer(account, LIMIT - 1000).fits
            with pytest.raises(exceptions.HttpError, match="does not read"):
                await writer.write_all(b"more")
            for holding in list(account.waiting):
                holding.release()

        self.run(account, scenario)
