"""HTTP server and client: responses match their requests, and malformed input is handled."""

import itertools
import socket

import curio
import h11
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cluster import free_address
from ebonywheel import callerconnection, exceptions, http, httpclient, httpserver
from ebonywheel import settings as host_settings
from netbench import MAX_BODY, connect, parse_answers, read_all, run

LARGE_BYTES = 4 * 1024 * 1024
MEDIUM_BYTES = 512 * 1024
# For an exchange over loopback, on a machine that may be busy.
EXCHANGE_TIMEOUT_S = 10.0


async def echo(exchange):
    """Respond with the path and body of the request, padded with as many bytes as it asks for."""
    request = exchange.request
    length = int(request.query.get("length", "0"))
    if request.path == "/stream":
        await exchange.start_stream("text/plain")
        await exchange.write(b"part")
        if "break" in request.query:
            raise exceptions.UpstreamError("lost", "read", "server", True)
        await exchange.end()
        return
    if request.path == "/slow":
        await curio.sleep(0.05)
    if request.path == "/inject":
        await exchange.respond(200, b"", headers=[("x-key", "a\r\nx-evil: 1")])
        return
    status = int(request.query.get("status", "200"))
    await exchange.respond(status, request.path.encode() + b"x" * length + request.body)


async def serve(core, handler=echo):
    server = httpserver.Server(core, core.host.http, handler, MAX_BODY)
    await server.start()
    return server


async def send_and_read(core, data, half_close=True):
    """Send bytes on a new connection and return everything received."""
    sock = await connect(core.host.http)
    async with sock:
        await sock.sendall(data)
        if half_close:
            await sock.shutdown(1)
        return await read_all(sock)


def get(path, extra=b""):
    return b"GET " + path.encode() + b" HTTP/1.1\r\nhost: x\r\n" + extra + b"\r\n"


CLOSE = b"connection: close\r\n"


class TestResponses:
    def test_pipelined_requests_are_answered_in_order(self):
        async def scenario(core):
            await serve(core)
            paths = ["/slow", "/b", "/slow/c", "/d"]
            data = await send_and_read(core, b"".join(get(path) for path in paths))
            answers = parse_answers(data, ["GET"] * 4)
            assert [body.decode() for _, body in answers] == paths

        run(scenario)

    def test_half_closed_caller_gets_the_complete_response(self):
        async def scenario(core):
            await serve(core)
            data = await send_and_read(
                core, get(f"/slow?length={LARGE_BYTES}", CLOSE), half_close=True
            )
            [(status, body)] = parse_answers(data, ["GET"])
            assert (status, len(body)) == (200, LARGE_BYTES + len("/slow"))

        run(scenario)

    def test_slow_reader_with_unread_input_gets_the_complete_response(self):
        async def scenario(core):
            await serve(core)
            sock = await connect(core.host.http)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 32768)
            async with sock:
                ignored = get("/ignored", b"x: " + b"y" * 1000 + b"\r\n") * 150
                await sock.sendall(get(f"/?length={MEDIUM_BYTES}", CLOSE) + ignored)
                await curio.sleep(0.3)
                data = await read_all(sock)
            answers = parse_answers(data, ["GET"])
            assert len(answers) == 1
            assert len(answers[0][1]) == MEDIUM_BYTES + 1

        run(scenario)

    def test_truncated_response_is_not_taken_as_complete(self):
        async def scenario(core):
            await serve(core)
            assert parse_answers(await send_and_read(core, get("/stream")), ["GET"]) == [
                (200, b"part")
            ]
            assert parse_answers(await send_and_read(core, get("/stream?break=1")), ["GET"]) == []

        run(scenario)

    def test_draining_host_announces_that_the_connection_closes(self):
        async def scenario(core):
            await serve(core)
            sock = await connect(core.host.http)
            async with sock:
                await core.draining.set()
                await sock.sendall(get("/last"))
                data = await read_all(sock)
            assert b"connection: close" in data.lower()
            assert parse_answers(data, ["GET"]) == [(200, b"/last")]

        run(scenario)


class TestRequests:
    @pytest.mark.parametrize(
        ("data", "methods", "expected"),
        [
            (b"HEAD /a HTTP/1.1\r\nhost: x\r\n\r\n" + get("/b"), ["HEAD", "GET"],
             [(200, b""), (200, b"/b")]),
            (get("http://x/absolute"), ["GET"], [(200, b"/absolute")]),
            (get("//not-a-host/path"), ["GET"], [(200, b"//not-a-host/path")]),
            (b"OPTIONS * HTTP/1.1\r\nhost: x\r\n\r\n", ["GET"], [(200, b"*")]),
            (get("/none?status=204"), ["GET"], [(204, b"")]),
            (b"POST /c HTTP/1.1\r\nhost: x\r\nexpect: 100-continue\r\ncontent-length: 2\r\n\r\nhi",
             ["GET"], [(200, b"/chi")]),
            (b"POST /d HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n"
             b"2\r\nhi\r\n0\r\n\r\n", ["GET"], [(200, b"/dhi")]),
        ],
        ids=["head", "absolute", "two slashes", "star", "no content", "continue", "chunked"],
    )  # fmt: skip
    def test_unusual_requests_are_answered(self, data, methods, expected):
        async def scenario(core):
            await serve(core)
            assert parse_answers(await send_and_read(core, data), methods) == expected

        run(scenario)

    @pytest.mark.parametrize(
        ("data", "status"),
        [
            (get("http://[::1"), 400),
            (b"\x00\xff\r\n\r\n", 400),
            (b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 2\r\ncontent-length: 3\r\n\r\nabc",
             400),
            (b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: -2\r\n\r\n", 400),
            (b"GET / HTTP/1.1\r\n\r\n", 400),
            (get("/", b"x: " + b"y" * 20_000 + b"\r\n"), 431),
            (get("/", b"x y: z\r\n"), 400),
            (b"POST / HTTP/1.1\r\nhost: x\r\nexpect: 100-continue\r\ncontent-length: 99999\r\n\r\n",
             413),
            (b"POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n"
             + b"8000\r\n" + b"x" * 0x8000 + b"\r\n" + b"9000\r\n" + b"x" * 0x9000 + b"\r\n", 413),
            (b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 5\r\n\r\nab", 400),
        ],
    )  # fmt: skip
    def test_malformed_requests_are_counted_and_answered(self, data, status):
        async def scenario(core):
            await serve(core)
            answer = await send_and_read(core, data)
            assert answer.startswith(b"HTTP/1.1 %d" % status), answer[:100]
            assert b"100 Continue" not in answer
            assert core.metrics.counters[("http_bad_requests", (("status", str(status)),))] == 1
            assert parse_answers(await send_and_read(core, get("/next")), ["GET"]) == [
                (200, b"/next")
            ]

        run(scenario)

    def test_header_injection_sends_nothing(self):
        async def scenario(core):
            await serve(core)
            assert b"evil" not in await send_and_read(core, get("/inject"))

        run(scenario)


class TestBrokenOffAnswers:
    # Guards against an answer that is broken off and that its caller, which speaks HTTP/1.0 and so
    # gets no chunks, takes for whole.
    @pytest.mark.parametrize("version", ["1.0", "1.1"])
    def test_a_broken_off_answer_does_not_look_whole(self, version):
        async def scenario(core):
            await serve(core)
            head = f"GET /stream?break=1 HTTP/{version}\r\nhost: x\r\n\r\n".encode()
            sock = await connect(core.host.http)
            async with sock:
                await sock.sendall(head)
                received = b""
                try:
                    while data := await sock.recv(65536):
                        received += data
                except ConnectionResetError:
                    received = b""
            assert parse_answers(received, ["GET"]) == []

        run(scenario)


async def fail_before_answer(exchange):
    """Fail in one of the ways in which a handler or its answer can, by the path of the request."""
    match exchange.request.path:
        case "/value":
            await exchange.respond(200, b"", headers=[("x-key", "a\r\nx-evil: 1")])
        case "/text":
            await exchange.respond(200, b"", headers=[("x-key", "\u98f2")])
        case "/name":
            await exchange.start(200, [("x key", "a")])
        case "/length":
            await exchange.respond_raw(200, [("content-length", "1x")], b"")
        case "/body" if exchange.request.method == "GET":
            await exchange.respond_raw(200, [("content-length", "1")], b"longer")
        case "/os":
            raise OSError("no such file")
        case "/timeout":
            raise curio.TaskTimeout(0.0)
        case "/fault":
            raise KeyError("missing")
        case _:
            await exchange.respond(200, b"whole")


class TestFailedAnswers:
    # Guards against an error before the first byte of an answer that ends as a closed connection.
    @pytest.mark.parametrize(
        "method, path",
        [
            *itertools.product(
                ["GET", "HEAD"],
                ["/value", "/text", "/name", "/length", "/os", "/timeout", "/fault"],
            ),
            ("GET", "/body"),
        ],
    )
    def test_an_error_before_the_first_byte_is_answered(self, method, path):
        async def scenario(core):
            await serve(core, fail_before_answer)
            head = f"{method} {path} HTTP/1.1\r\nhost: x\r\n\r\n".encode()
            received = await send_and_read(core, head)
            (answer,) = parse_answers(received, [method])
            assert answer[0] in (500, 502)
            assert parse_answers(await send_and_read(core, get("/alive")), ["GET"]) == [
                (200, b"whole")
            ]

        run(scenario)


class TestSlowCallers:
    @pytest.mark.parametrize(
        "data", [b"GET / HT", b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 9\r\n\r\n"]
    )
    def test_time_limit_holds_for_the_whole_head_or_body(self, monkeypatch, data):
        monkeypatch.setattr(callerconnection, "HEADER_TIMEOUT_S", 0.3)
        monkeypatch.setattr(callerconnection, "BODY_TIMEOUT_S", 0.3)

        async def scenario(core):
            await serve(core)
            sock = await connect(core.host.http)

            async def send_slowly():
                for _ in range(100):
                    await sock.sendall(b"a")
                    await curio.sleep(0.05)

            await sock.sendall(data)
            sending = await curio.spawn(send_slowly(), daemon=True)
            answer = await read_all(sock, 3.0)
            await sending.cancel()
            assert answer.startswith(b"HTTP/1.1 408")

        run(scenario)

    def test_idle_connection_is_closed_without_an_answer(self, monkeypatch):
        monkeypatch.setattr(callerconnection, "IDLE_TIMEOUT_S", 0.1)

        async def scenario(core):
            await serve(core)
            assert await send_and_read(core, b"", half_close=False) == b""

        run(scenario)

    def test_connections_are_bounded(self, monkeypatch):
        monkeypatch.setattr(httpserver, "MAX_CONNECTIONS", 3)

        async def scenario(core):
            server = await serve(core)
            socks = [await connect(core.host.http) for _ in range(3)]
            await curio.sleep(0.05)
            assert server.open_connections == 3
            extra = await connect(core.host.http)
            assert await read_all(extra) == b""
            await extra.close()
            for sock in socks:
                await sock.close()
            await curio.sleep(0.05)
            assert parse_answers(await send_and_read(core, get("/in")), ["GET"]) == [(200, b"/in")]

        run(scenario)


# Fragments of requests, valid, truncated and malformed, that the fuzz tests join.
FRAGMENTS = st.sampled_from(
    [
        get("/a"), b"GET /", b" HTTP/1.1\r\n", b"host: x\r\n", b"\r\n", b"\n", b"\0", b"\xff\xfe",
        b"content-length: 5\r\n", b"content-length: 99999999999999999999\r\n",
        b"transfer-encoding: chunked\r\n", b"transfer-encoding: gzip\r\n", b"5\r\nhello\r\n",
        b"0\r\n\r\n", b"ffffffffffffffffffff\r\n", b"expect: 100-continue\r\n", b"PUT ",
        b"connection: close\r\n", b"upgrade: h2c\r\n", b"CONNECT x:1 HTTP/1.1\r\nhost: x\r\n\r\n",
        b"POST /b HTTP/1.1\r\nhost: x\r\ncontent-length: 3\r\n\r\nabc", b"y" * 17_000,
    ]
)  # fmt: skip
FUZZ_INPUTS = st.lists(st.one_of(FRAGMENTS, st.binary(max_size=40)), max_size=12).map(b"".join)


class TestFuzz:
    @settings(derandomize=True, max_examples=250, deadline=None)
    @given(FUZZ_INPUTS)
    def test_server_answers_or_closes(self, data):
        async def scenario(core):
            server = await serve(core)
            await send_and_read(core, data)
            await curio.sleep(0)
            assert (server.active_exchanges, core.metrics.counters[("task_errors", ())]) == (0, 0)
            names = [name for name, _ in core.metrics.counters]
            assert "task_errors" not in names
            assert parse_answers(await send_and_read(core, get("/alive")), ["GET"]) == [
                (200, b"/alive")
            ]

        run(scenario)

    @settings(derandomize=True, max_examples=250, deadline=None)
    @given(
        st.one_of(
            FUZZ_INPUTS, st.tuples(st.just(b"HTTP/1.1 200 OK\r\n"), FUZZ_INPUTS).map(b"".join)
        )
    )
    def test_client_gets_a_response_or_an_error(self, data):
        async def scenario(core):
            error = await exchange(data)
            assert error is None or error.sent

        run(scenario)

    @settings(derandomize=True, max_examples=100, deadline=None)
    @given(st.data(), st.binary(max_size=300), st.booleans())
    def test_client_rejects_truncated_responses(self, data, body, chunked):
        server = h11.Connection(h11.SERVER)
        server.receive_data(get("/"))
        server.next_event()
        framing = ("transfer-encoding", "chunked")
        if not chunked:
            framing = ("content-length", str(len(body)))
        response = server.send(h11.Response(status_code=200, headers=[framing]))
        response += server.send(h11.Data(data=body)) + server.send(h11.EndOfMessage())
        cut = data.draw(st.integers(0, len(response) - 1))

        async def scenario(core):
            assert await exchange(response) is None
            assert isinstance(await exchange(response[:cut]), exceptions.UpstreamError)

        run(scenario)


async def exchange(answer):
    """Send a request to a server that sends these bytes and closes; return the error or None."""
    address = free_address()
    sock = curio.tcp_server_socket(*host_settings.split_address(address))

    async def serve_once():
        client, _ = await sock.accept()
        async with client:
            await client.recv(65536)
            await client.sendall(answer)

    serving = await curio.spawn(serve_once(), daemon=True)
    connection = httpclient.ClientConnection(address)
    try:
        await connection.connect(EXCHANGE_TIMEOUT_S)
        await connection.request("GET", "/", [], b"", EXCHANGE_TIMEOUT_S)
        await connection.response(EXCHANGE_TIMEOUT_S)
        await connection.body(EXCHANGE_TIMEOUT_S, MAX_BODY)
    except exceptions.UpstreamError as error:
        return error
    finally:
        await connection.close()
        await serving.cancel()
        await sock.close()
    return None


class TestReadAhead:
    # Guards against a buffer that grows with each of many pipelined requests.
    def test_bytes_read_ahead_are_bounded_over_many_exchanges(self):
        async def scenario(core):
            sizes = []

            async def handler(exchange):
                async with curio.ignore_after(0.05):
                    await exchange.wait_hangup()
                sizes.append(len(exchange.connection.conn.trailing_data[0]))
                await exchange.respond(200)

            await serve(core, handler)
            sock = await connect(core.host.http)
            async with sock:
                sender = await curio.spawn(sock.sendall(get("/") * 100_000), daemon=True)
                data = b""
                while data.count(b"HTTP/1.1 200") < 20:
                    async with curio.timeout_after(EXCHANGE_TIMEOUT_S):
                        data += await sock.recv(http.READ_BYTES)
                await sender.cancel()
            assert max(sizes) <= callerconnection.MAX_HEADER_BYTES + http.READ_BYTES

        run(scenario)


class TestStopAccepting:
    # Guards against a connection that stays open, and may begin requests, after a stop.
    def test_a_connection_that_becomes_idle_after_the_stop_is_closed(self):
        async def scenario(core):
            started, released = curio.Event(), curio.Event()

            async def handler(exchange):
                await exchange.start_stream("text/plain")
                await started.set()
                await released.wait()
                await exchange.end()

            server = await serve(core, handler)
            sock = await connect(core.host.http)
            async with sock:
                await sock.sendall(get("/"))
                await started.wait()
                await core.draining.set()
                await server.stop_accepting()
                await released.set()
                data = await read_all(sock)
            assert [status for status, _ in parse_answers(data, ["GET"])] == [200]

        run(scenario)
