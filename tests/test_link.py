"""Links between processes: handshakes, malformed frames, and peers that fail or misbehave."""

import contextlib
import socket

import curio
import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ebonywheel import codec, exceptions, frames, link, messages
from netbench import connect, make_core, read_all, run

QUERY = messages.Query("status", b"{}")


async def answer_query(message, peer):
    """Answer queries; the names "slow", "refuse" and "fail" delay the answer or raise errors."""
    match message:
        case messages.Query(name="slow"):
            await curio.sleep(0.2)
        case messages.Query(name="refuse"):
            raise exceptions.NotRunError("no", "try", "me")
        case messages.Query(name="fail"):
            raise RuntimeError("bug")
    return messages.QueryReply(1, message.name.encode())


async def start_server(core):
    server = link.LinkServer(core, answer_query)
    await server.start()
    return server


def make_link(core, secret=None):
    client_core = make_core("right", secret or core.secret)
    return client_core, link.Link(client_core, "entry:left", core.host.link)


async def query(core, name="status"):
    client_core, connection = make_link(core)
    async with client_core:
        return (await connection.call(messages.Query(name), 2.0)).content


def encode(message, exchange=0, flag=codec.FLAG_REQUEST):
    return codec.encode(message, exchange, flag)


class TestCalls:
    def test_answers_out_of_order_reach_their_callers(self):
        async def scenario(core):
            await start_server(core)
            client_core, connection = make_link(core)
            async with client_core:
                names = ["slow", "a", "b", "slow", "c"]
                calls = [await curio.spawn(connection.call(messages.Query(n))) for n in names]
                answers = [(await call.join()).content.decode() for call in calls]
            assert answers == names

        run(scenario)

    @pytest.mark.parametrize(("name", "code"), [("refuse", "not_run"), ("fail", "internal")])
    def test_error_of_the_handler_is_returned(self, name, code):
        async def scenario(core):
            await start_server(core)
            with pytest.raises(exceptions.RemoteError) as caught:
                await query(core, name)
            assert caught.value.remote_code == code
            assert await query(core) == b"status"

        run(scenario)


class TestUnknownMessages:
    # Guards against a message of a newer build that ends the link, with all else that it carries.
    def test_a_message_of_a_newer_build_fails_alone(self, monkeypatch):
        async def scenario(core):
            await start_server(core)
            client_core, connection = make_link(core)
            async with client_core:
                slow = await curio.spawn(connection.call(messages.Query("slow"), 2.0))
                await curio.sleep(0.05)
                stream = connection.stream
                with monkeypatch.context() as newer:
                    newer.setitem(codec._type_numbers, messages.QueryReply, 60_000)
                    with pytest.raises(exceptions.RemoteError) as raised:
                        await connection.call(messages.QueryReply(1, b"x" * 100_000), 2.0)
                assert raised.value.remote_code == "unknown_message"
                assert (await slow.join()).content == b"slow"
                assert (await connection.call(QUERY, 2.0)).content == b"status"
                assert connection.stream is stream

        run(scenario)

    # Guards against answers that are never sent, as one value does not fit its field.
    def test_an_answer_that_cannot_be_encoded_is_an_error(self):
        async def answer(message, peer):
            return messages.WatchReply(records=[messages.DirectoryRecord("s", 2**64)])

        async def scenario(core):
            await link.LinkServer(core, answer).start()
            client_core, connection = make_link(core)
            async with client_core:
                with pytest.raises(exceptions.RemoteError):
                    await connection.call(QUERY, 2.0)

        run(scenario)


class TestConnect:
    def test_connecting_to_an_unresponsive_host_times_out_early(self):
        """A SYN that a host lost in a power failure is resent by the kernel only after 1 s.

        The call must give up sooner, so that a new attempt reaches the restarted host.
        """

        async def scenario(core):
            with socket.socket() as listener, contextlib.ExitStack() as clients:
                listener.bind(("127.0.0.1", 0))
                listener.listen(0)
                fill_accept_queue(listener, clients)
                address = f"127.0.0.1:{listener.getsockname()[1]}"
                client_core = make_core("right", core.secret)
                async with client_core:
                    with pytest.raises(exceptions.LinkTimeout) as raised:
                        await link.Link(client_core, "entry:left", address).call(QUERY, 0.9)
            assert raised.value.step == "connect"

        run(scenario)


def fill_accept_queue(listener, clients):
    """Open connections without accepting them, until the kernel drops further ones."""
    for _ in range(3):
        client = clients.enter_context(socket.socket())
        client.setblocking(False)
        client.connect_ex(listener.getsockname())


class TestHandshake:
    @pytest.mark.parametrize(
        "data",
        [
            b"GET / HTTP/1.1\r\nhost: x\r\n\r\n",
            encode(messages.Ack()),
            encode(messages.Hello("entry", "x" * 5000, "puget", b"n")),
            encode(messages.Hello("entry", "right", "puget", b"n")) + encode(messages.Proof(b"no")),
            encode(messages.Hello("entry", "right", "puget", b"n")) + encode(QUERY),
            codec.HEADER.pack(codec.MAX_BODY_BYTES, 1, 0, codec.type_number(messages.Hello), 0),
            codec.HEADER.pack(8, 1, 0, codec.type_number(messages.Holdings), 0) + b"\0" * 8,
        ],
        ids=["http", "no hello", "large", "forged", "unproven", "8 MB", "list"],
    )
    def test_unauthenticated_peer_is_refused_and_counted(self, data):
        async def scenario(core):
            server = await start_server(core)
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
            assert server.open_connections == 0
            assert await query(core) == b"status"

        run(scenario)

    def test_another_secret_is_refused(self):
        async def scenario(core):
            await start_server(core)
            client_core, connection = make_link(core, b"another secret of the test")
            async with client_core:
                with pytest.raises(exceptions.HandshakeError):
                    await connection.call(QUERY)

        run(scenario)

    def test_proof_cannot_be_reflected(self):
        # A proof must be valid neither for the other direction nor for another connection.
        async def scenario(core):
            await start_server(core)
            sock = await connect(core.host.link)
            async with sock:
                stream = frames.FrameStream(core, sock, "test")
                hello = messages.Hello("entry", "left", "puget", b"n" * 16)
                await stream.write(encode(hello))
                challenge = await stream.read_handshake(messages.Challenge)
                await stream.write(encode(messages.Proof(challenge.proof)))
                with pytest.raises(exceptions.LinkError):
                    await stream.read()

        run(scenario)

    def test_peer_that_sends_half_a_hello_is_disconnected(self, monkeypatch):
        monkeypatch.setattr(link, "HANDSHAKE_TIMEOUT_S", 0.2)

        async def scenario(core):
            server = await start_server(core)
            sock = await connect(core.host.link)
            async with sock:
                await sock.sendall(encode(messages.Hello())[:10])
                assert await read_all(sock, 1.0) == b""
            assert server.open_connections == 0

        run(scenario)

    def test_handshake_with_a_silent_server_times_out(self, monkeypatch):
        monkeypatch.setattr(link, "HANDSHAKE_TIMEOUT_S", 0.2)

        async def scenario(core):
            host, port = core.host.link.split(":")
            sock = curio.tcp_server_socket(host, int(port))
            client_core, connection = make_link(core)
            async with client_core:
                with pytest.raises(exceptions.LinkTimeout) as caught:
                    await connection.call(QUERY)
            assert caught.value.step == "handshake"
            await sock.close()

        run(scenario)

    def test_number_of_connections_is_limited(self, monkeypatch):
        monkeypatch.setattr(link, "MAX_CONNECTIONS", 2)

        async def scenario(core):
            server = await start_server(core)
            held = [await connect(core.host.link) for _ in range(2)]
            await curio.sleep(0.05)
            extra = await connect(core.host.link)
            assert await read_all(extra, 1.0) == b""
            assert server.open_connections == 2
            for sock in [*held, extra]:
                await sock.close()
            await curio.sleep(0.05)
            assert await query(core) == b"status"

        run(scenario)


class MisbehavingServer:
    """Completes the handshake, then passes the first request of each connection to `behave`."""

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
            await link._handshake_as_server(self.core, stream)
            header, message = await stream.read()
            await self.behave(stream, header)


def encode_reply(exchange, flag=codec.FLAG_REPLY):
    return codec.encode(messages.QueryReply(1, b"rogue"), exchange, flag)


class TestMisbehavingServer:
    @pytest.mark.parametrize(
        "data",
        [
            lambda exchange: b"",
            lambda exchange: encode_reply(exchange)[:20],
            lambda exchange: encode_reply(exchange)[:-1],
            lambda exchange: codec.HEADER.pack(codec.MAX_BODY_BYTES + 1, 1, 1, 1, exchange),
            lambda exchange: codec.HEADER.pack(8, 9, 1, 1, exchange) + b"\0" * 8,
            lambda exchange: codec.HEADER.pack(16, 1, 1, 16, exchange) + b"\xff" * 16,
        ],
        ids=["closed", "half a header", "half a body", "oversize", "version", "garbage"],
    )
    def test_pending_call_fails_and_a_new_connection_is_opened(self, data):
        async def scenario(core):
            async def behave(stream, header):
                if server.accepted == 1:
                    await stream.sock.sendall(data(header.exchange))
                else:
                    await stream.write(encode_reply(header.exchange))

            server = MisbehavingServer(core, behave)
            await server.start()
            client_core, connection = make_link(core)
            async with client_core:
                with pytest.raises(exceptions.LinkError):
                    await connection.call(QUERY, 2.0)
                assert (await connection.call(QUERY, 2.0)).content == b"rogue"
                assert connection.pending == {}

        run(scenario)

    def test_unexpected_answers_are_counted_and_dropped(self):
        async def scenario(core):
            async def behave(stream, header):
                await stream.write(encode_reply(header.exchange + 7))
                await stream.write(encode_reply(header.exchange, codec.FLAG_REQUEST))
                await stream.write(encode_reply(header.exchange))

            await MisbehavingServer(core, behave).start()
            client_core, connection = make_link(core)
            async with client_core:
                assert (await connection.call(QUERY, 2.0)).content == b"rogue"
                late = [
                    count
                    for (name, _), count in client_core.metrics.counters.items()
                    if "late" in name
                ]
                assert sum(late) == 2

        run(scenario)


class TestInterruptedWrite:
    def test_later_calls_succeed_on_a_new_connection(self):
        # The peer does not read for a while, so that the call times out within its write. The peer
        # would read the next request as the rest of the interrupted frame.
        async def scenario(core):
            async def behave(stream, header):
                await stream.write(encode_reply(header.exchange))
                for _ in range(30):
                    await stream.write(encode_reply(999))
                    await curio.sleep(0.01)
                while True:
                    header, _ = await stream.read()
                    await stream.write(encode_reply(header.exchange))

            await MisbehavingServer(core, behave).start()
            client_core, connection = make_link(core)
            async with client_core:
                await connection.call(QUERY)
                with pytest.raises(exceptions.LinkTimeout):
                    await connection.call(messages.Query("x", b"y" * 8_000_000), 0.15)
                assert (await connection.call(QUERY, 2.0)).content == b"rogue"

        run(scenario)


class TestFuzz:
    @settings(derandomize=True, max_examples=150, deadline=None)
    @given(st.binary(max_size=200))
    def test_connection_with_random_bytes_is_closed(self, data):
        async def scenario(core):
            server = await start_server(core)
            sock = await connect(core.host.link)
            async with sock:
                await sock.sendall(data)
                await sock.shutdown(1)
                await read_all(sock, 3.0)
            await curio.sleep(0)
            assert "task_errors" not in [name for name, _ in core.metrics.counters]
            assert server.open_connections == 0

        run(scenario)

    @settings(derandomize=True, max_examples=400, deadline=None)
    @given(st.sampled_from(messages.MESSAGES), st.data())
    def test_damaged_body_decodes_or_raises_a_frame_error(self, message_class, data):
        encoded = encode(message_class())
        body = bytearray(encoded[codec.HEADER.size :])
        for _ in range(data.draw(st.integers(1, 6))):
            position = data.draw(st.integers(0, len(body) - 1))
            body[position] = data.draw(st.integers(0, 255))
        header = codec.Header(len(body), codec.VERSION, 0, codec.type_number(message_class), 1)
        try:
            assert isinstance(codec.decode_body(header, bytes(body)), msgspec.Struct)
        except exceptions.FrameError:
            pass

    @pytest.mark.parametrize("count", [1 << 20, (1 << 29) - 1])
    def test_size_of_a_decoded_list_of_empty_structs_is_limited(self, count):
        # Rewrites a list so that a few bytes claim many elements of size zero.
        encoded = encode(messages.Holdings("h", 1, [messages.Holding()]))
        body = bytearray(encoded[codec.HEADER.size :])
        pointers = len(body) // 8
        for word in range(pointers):
            pointer = int.from_bytes(body[8 * word : 8 * word + 8], "little")
            if pointer & 3 == 1 and (pointer >> 32) & 7 == 7:
                body[8 * word : 8 * word + 8] = (pointer & ((1 << 35) - 1)).to_bytes(8, "little")
                target = word + 1 + ((pointer & 0xFFFFFFFF) >> 2)
                body[8 * target : 8 * target + 8] = (count << 2).to_bytes(8, "little")
        header = codec.Header(len(body), codec.VERSION, 0, codec.type_number(messages.Holdings), 1)
        with pytest.raises(exceptions.FrameError):
            codec.decode_body(header, bytes(body))
