"""Links between processes: handshakes, malformed frames, peers that die, freeze or lie."""

import contextlib
import socket

import curio
import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ebonywheel import codec, exceptions, frames, link, messages
from netbench import connect, make_core, read_all, run

QUESTION = messages.Query("status", b"{}")


async def answer(message, peer):
    """Answer queries; fail others in the ways that handlers fail."""
    match message:
        case messages.Query(name="slow"):
            await curio.sleep(0.2)
        case messages.Query(name="refuse"):
            raise exceptions.NotRunError("no", "try", "me")
        case messages.Query(name="fail"):
            raise RuntimeError("bug")
    return messages.QueryReply(1, message.name.encode())


async def serve(core):
    server = link.LinkServer(core, answer)
    await server.start()
    return server


def link_to(core, secret=None):
    own = make_core("right", secret or core.secret)
    return own, link.Link(own, "entry:left", core.host.link)


async def ask(core, name="status"):
    own, connection = link_to(core)
    async with own:
        return (await connection.call(messages.Query(name), 2.0)).content


def frame(message, exchange=0, flag=codec.FLAG_REQUEST):
    return codec.encode(message, exchange, flag)


class TestCalls:
    def test_answers_out_of_order_reach_their_callers(self):
        async def scenario(core):
            await serve(core)
            own, connection = link_to(core)
            async with own:
                names = ["slow", "a", "b", "slow", "c"]
                calls = [await curio.spawn(connection.call(messages.Query(n))) for n in names]
                answers = [(await call.join()).content.decode() for call in calls]
            assert answers == names

        run(scenario)

    @pytest.mark.parametrize(("name", "code"), [("refuse", "not_run"), ("fail", "internal")])
    def test_failure_of_the_handler_is_told(self, name, code):
        async def scenario(core):
            await serve(core)
            with pytest.raises(exceptions.RemoteError) as caught:
                await ask(core, name)
            assert caught.value.remote_code == code
            assert await ask(core) == b"status"

        run(scenario)


class TestConnect:
    def test_a_host_that_takes_no_connection_is_soon_tried_anew(self):
        """Pattern: after a loss of power the peer is back just after its opening packet was lost.

        The kernel would send it again after 1 s.
        """

        async def scenario(core):
            with socket.socket() as listener, contextlib.ExitStack() as waiting:
                listener.bind(("127.0.0.1", 0))
                listener.listen(0)
                fill_queue(listener, waiting)
                address = f"127.0.0.1:{listener.getsockname()[1]}"
                own = make_core("right", core.secret)
                async with own:
                    with pytest.raises(exceptions.LinkTimeout) as raised:
                        await link.Link(own, "entry:left", address).call(QUESTION, 0.9)
            assert raised.value.step == "connect"

        run(scenario)


def fill_queue(listener, waiting):
    """Open connections that nobody accepts until the kernel drops further ones."""
    for _ in range(3):
        client = waiting.enter_context(socket.socket())
        client.setblocking(False)
        client.connect_ex(listener.getsockname())


class TestHandshake:
    @pytest.mark.parametrize(
        "data",
        [
            b"GET / HTTP/1.1\r\nhost: x\r\n\r\n",
            frame(messages.Ack()),
            frame(messages.Hello("entry", "x" * 5000, "puget", b"n")),
            frame(messages.Hello("entry", "right", "puget", b"n")) + frame(messages.Proof(b"no")),
            frame(messages.Hello("entry", "right", "puget", b"n")) + frame(QUESTION),
            codec.HEADER.pack(codec.MAX_BODY_BYTES, 1, 0, codec.kind_of(messages.Hello), 0),
            codec.HEADER.pack(8, 1, 0, codec.kind_of(messages.Holdings), 0) + b"\0" * 8,
        ],
        ids=["http", "no hello", "large", "forged", "unproven", "8 MB", "list"],
    )
    def test_stranger_is_refused_and_counted(self, data):
        async def scenario(core):
            server = await serve(core)
            sock = await connect(core.host.link)
            async with sock:
                await sock.sendall(data)
                await read_all(sock, 1.5)
            refused = [
                count
                for (name, _), count in core.metrics.counters.items()
                if name == "link_refused"
            ]
            assert refused == [1]
            assert server.open == 0
            assert await ask(core) == b"status"

        run(scenario)

    def test_other_secret_is_refused_by_both_sides(self):
        async def scenario(core):
            await serve(core)
            own, connection = link_to(core, b"another secret of the test")
            async with own:
                with pytest.raises(exceptions.HandshakeError):
                    await connection.call(QUESTION)

        run(scenario)

    def test_proof_cannot_be_reflected(self):
        # The same proof serves neither the other direction nor another connection.
        async def scenario(core):
            await serve(core)
            sock = await connect(core.host.link)
            async with sock:
                stream = frames.FrameStream(core, sock, "test")
                hello = messages.Hello("entry", "left", "puget", b"n" * 16)
                await stream.write(frame(hello))
                challenge = await stream.read_handshake(messages.Challenge)
                await stream.write(frame(messages.Proof(challenge.proof)))
                with pytest.raises(exceptions.LinkError):
                    await stream.read()

        run(scenario)

    def test_silent_stranger_is_cut_off(self, monkeypatch):
        monkeypatch.setattr(link, "HANDSHAKE_TIMEOUT_S", 0.2)

        async def scenario(core):
            server = await serve(core)
            sock = await connect(core.host.link)
            async with sock:
                await sock.sendall(frame(messages.Hello())[:10])
                assert await read_all(sock, 1.0) == b""
            assert server.open == 0

        run(scenario)

    def test_server_that_accepts_and_says_nothing_is_given_up(self, monkeypatch):
        monkeypatch.setattr(link, "HANDSHAKE_TIMEOUT_S", 0.2)

        async def scenario(core):
            host, port = core.host.link.split(":")
            sock = curio.tcp_server_socket(host, int(port))
            own, connection = link_to(core)
            async with own:
                with pytest.raises(exceptions.LinkTimeout) as caught:
                    await connection.call(QUESTION)
            assert caught.value.step == "handshake"
            await sock.close()

        run(scenario)

    def test_connections_are_bounded(self, monkeypatch):
        monkeypatch.setattr(link, "MAX_CONNECTIONS", 2)

        async def scenario(core):
            server = await serve(core)
            held = [await connect(core.host.link) for _ in range(2)]
            await curio.sleep(0.05)
            extra = await connect(core.host.link)
            assert await read_all(extra, 1.0) == b""
            assert server.open == 2
            for sock in [*held, extra]:
                await sock.close()
            await curio.sleep(0.05)
            assert await ask(core) == b"status"

        run(scenario)


class RogueServer:
    """Proves the secret, then does with each request as it is told."""

    def __init__(self, core, behave):
        self.core = core
        self.behave = behave
        self.accepted = 0

    async def start(self):
        host, port = self.core.host.link.split(":")
        self.sock = curio.tcp_server_socket(host, int(port))
        await curio.spawn(self._accept(), daemon=True)

    async def _accept(self):
        while True:
            client, _ = await self.sock.accept()
            self.accepted += 1
            await curio.spawn(self._serve(client), daemon=True)

    async def _serve(self, client):
        stream = frames.FrameStream(self.core, client, "rogue")
        async with client:
            await link._admit(self.core, stream)
            header, message = await stream.read()
            await self.behave(stream, header)


def reply(exchange, flag=codec.FLAG_REPLY):
    return codec.encode(messages.QueryReply(1, b"rogue"), exchange, flag)


class TestRoguePeer:
    @pytest.mark.parametrize(
        "data",
        [
            lambda n: b"",
            lambda n: reply(n)[:20],
            lambda n: reply(n)[:-1],
            lambda n: codec.HEADER.pack(codec.MAX_BODY_BYTES + 1, 1, 1, 1, n),
            lambda n: codec.HEADER.pack(8, 9, 1, 1, n) + b"\0" * 8,
            lambda n: codec.HEADER.pack(16, 1, 1, 16, n) + b"\xff" * 16,
        ],
        ids=["closed", "half a header", "half a body", "oversize", "version", "garbage"],
    )
    def test_waiting_call_fails_and_a_new_connection_is_opened(self, data):
        async def scenario(core):
            async def behave(stream, header):
                if rogue.accepted == 1:
                    await stream.sock.sendall(data(header.exchange))
                else:
                    await stream.write(reply(header.exchange))

            rogue = RogueServer(core, behave)
            await rogue.start()
            own, connection = link_to(core)
            async with own:
                with pytest.raises(exceptions.LinkError):
                    await connection.call(QUESTION, 2.0)
                assert (await connection.call(QUESTION, 2.0)).content == b"rogue"
                assert connection.pending == {}

        run(scenario)

    def test_answers_to_unknown_exchanges_are_counted_and_dropped(self):
        async def scenario(core):
            async def behave(stream, header):
                await stream.write(reply(header.exchange + 7))
                await stream.write(reply(header.exchange, codec.FLAG_REQUEST))
                await stream.write(reply(header.exchange))

            await RogueServer(core, behave).start()
            own, connection = link_to(core)
            async with own:
                assert (await connection.call(QUESTION, 2.0)).content == b"rogue"
                late = [n for (name, _), n in own.metrics.counters.items() if "late" in name]
                assert sum(late) == 2

        run(scenario)


class TestCutOffWrite:
    def test_no_later_call_is_misread(self):
        # A peer that sends but does not read for a while, so that a call is cut off in a write.
        async def scenario(core):
            async def behave(stream, header):
                await stream.write(reply(header.exchange))
                for _ in range(30):
                    await stream.write(reply(999))
                    await curio.sleep(0.01)
                while True:
                    header, _ = await stream.read()
                    await stream.write(reply(header.exchange))

            await RogueServer(core, behave).start()
            own, connection = link_to(core)
            async with own:
                await connection.call(QUESTION)
                with pytest.raises(exceptions.LinkTimeout):
                    await connection.call(messages.Query("x", b"y" * 8_000_000), 0.15)
                assert (await connection.call(QUESTION, 2.0)).content == b"rogue"

        run(scenario)


class TestFuzz:
    @settings(derandomize=True, max_examples=150, deadline=None)
    @given(st.binary(max_size=200))
    def test_stranger_s_bytes_are_closed(self, data):
        async def scenario(core):
            server = await serve(core)
            sock = await connect(core.host.link)
            async with sock:
                await sock.sendall(data)
                await sock.shutdown(1)
                await read_all(sock, 3.0)
            await curio.sleep(0)
            assert "task_errors" not in [name for name, _ in core.metrics.counters]
            assert server.open == 0

        run(scenario)

    @settings(derandomize=True, max_examples=400, deadline=None)
    @given(st.sampled_from(messages.MESSAGES), st.data())
    def test_damaged_body_is_a_message_or_a_frame_error(self, kind, data):
        whole = frame(kind())
        body = bytearray(whole[codec.HEADER.size :])
        for _ in range(data.draw(st.integers(1, 6))):
            at = data.draw(st.integers(0, len(body) - 1))
            body[at] = data.draw(st.integers(0, 255))
        header = codec.Header(len(body), codec.VERSION, 0, codec.kind_of(kind), 1)
        try:
            assert isinstance(codec.decode_body(header, bytes(body)), msgspec.Struct)
        except exceptions.FrameError:
            pass

    @pytest.mark.parametrize("count", [1 << 20, (1 << 29) - 1])
    def test_list_of_empty_structs_cannot_unfold_without_bound(self, count):
        # A composite list whose elements have no size: a few bytes that claim many elements.
        whole = frame(messages.Holdings("h", 1, [messages.Holding()]))
        body = bytearray(whole[codec.HEADER.size :])
        pointers = len(body) // 8
        for word in range(pointers):
            pointer = int.from_bytes(body[8 * word : 8 * word + 8], "little")
            if pointer & 3 == 1 and (pointer >> 32) & 7 == 7:
                body[8 * word : 8 * word + 8] = (pointer & ((1 << 35) - 1)).to_bytes(8, "little")
                target = word + 1 + ((pointer & 0xFFFFFFFF) >> 2)
                body[8 * target : 8 * target + 8] = (count << 2).to_bytes(8, "little")
        header = codec.Header(len(body), codec.VERSION, 0, codec.kind_of(messages.Holdings), 1)
        with pytest.raises(exceptions.FrameError):
            codec.decode_body(header, bytes(body))
