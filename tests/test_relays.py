"""Requests that one entry host has another one serve, over real links in one process."""

import types

import curio
import msgspec
import pytest

from ebonywheel import exceptions, http, link, messages
from ebonywheel.gateway import inflight, relays, relayserver
from netbench import make_core, run

REQUEST = http.Request(
    "POST", "/plan/1", {}, {}, b"prompt", "10.0.0.1:5", "a=1", [("host", "a.example")]
)
# With an empty query.
TARGET = "/plan/1?"
WHOLE = b"".join(b"id: %d\n\n" % number for number in range(200))


class Response:
    """Collects what the caller gets."""

    def __init__(self):
        self.started = False
        self.ended = False
        self.status = 0
        self.headers = []
        self.body = b""

    async def start(self, status, headers):
        self.started = True
        self.status, self.headers = status, headers

    async def write(self, data):
        self.body += data

    async def end(self):
        self.ended = True

    async def respond_raw(self, status, fields, body):
        await self.start(status, fields)
        self.body, self.ended = body, True


class Servant:
    """Serves relayed requests as scripted.

    Attributes:
        script: Called with the exchange of each request.
        served: Exchanges so far.
        cancelled: Number of those that were cancelled.
    """

    def __init__(self, script):
        self.script = script
        self.served = []
        self.cancelled = 0

    async def serve_relayed(self, exchange):
        self.served.append(exchange)
        try:
            await self.script(exchange)
        except curio.CancelledError:
            self.cancelled += 1
            raise


class Bench:
    """One host that asks, and some that serve.

    Attributes:
        servants: What serves at each of the others.
        servers: Their relay servers.
    """

    def __init__(self, core, scripts):
        self.core = core
        self.scripts = scripts
        self.servants = []
        self.servers = []
        self.cores = []

    async def __aenter__(self):
        for number, script in enumerate(self.scripts):
            core = make_core(f"relay-{number}", self.core.secret)
            await core.__aenter__()
            self.cores.append(core)
            self.servants.append(Servant(script))
            self.servers.append(relayserver.RelayServer(core, self.servants[-1]))
            await self.servers[-1].start()
        hosts = [
            messages.RelayHost(core.host.name, "puget-a", core.host.link) for core in self.cores
        ]
        watcher = types.SimpleNamespace(call=self.list_hosts(hosts))
        view = types.SimpleNamespace(
            distance=lambda data_centre: 0.0, regions={"puget-a": "puget"}, routing_index=7
        )
        self.relays = relays.Relays(self.core, view, watcher)
        return self

    async def __aexit__(self, *exc_info):
        for core in self.cores:
            await core.__aexit__(*exc_info)

    def list_hosts(self, hosts):
        async def call(message, timeout_s):
            return messages.RelayHostsReply(hosts)

        return call

    def context(self, **fields):
        now = self.core.clock.monotonic()
        return inflight.RequestContext(
            types.SimpleNamespace(attempt="attempt-1"),
            types.SimpleNamespace(regions=frozenset()),
            None,
            None,
            now - 0.25,
            now + 5.0,
            now + 5.0,
            **fields,
        )

    async def forward(self, response, context=None, request=REQUEST):
        return await self.relays.forward(response, request, context or self.context())


def with_bench(scenario, *scripts):
    """Run a scenario with a bench of a relaying host for each script."""

    async def main(core):
        async with Bench(core, scripts) as bench:
            await scenario(bench)

    run(main)


async def answer_whole(exchange):
    await exchange.respond_raw(200, [("x-a", "1"), ("content-length", "3")], b"yes")


async def stream(exchange):
    await exchange.start(200, [("content-type", "text/event-stream")])
    for number in range(200):
        await exchange.write(b"id: %d\n\n" % number)
        await curio.sleep(0.001)
    await exchange.end()


async def refuse_elsewhere(exchange):
    raise exceptions.ElsewhereError("cut off as well")


def test_an_answer_is_passed_on_whole_and_the_request_arrives_as_it_was():
    async def scenario(bench):
        response = Response()
        assert await bench.forward(response)
        assert (response.status, response.body, response.ended) == (200, b"yes", True)
        assert ("x-a", "1") in response.headers
        (exchange,) = bench.servants[0].served
        assert exchange.request.fields == REQUEST.fields
        assert (exchange.request.path, exchange.request.raw_query) == ("/plan/1", "a=1")
        assert exchange.request.body == b"prompt" and exchange.routing_index == 7
        # The time that has passed counts at the other host, too.
        assert 0.2 < exchange.elapsed_s < 1.0
        await wait_until(lambda: not bench.servers[0].relays)

    with_bench(scenario, answer_whole)


# Guards against a relayed target that loses the question mark before its empty query.
def test_a_relayed_target_arrives_as_it_was_sent():
    async def scenario(bench):
        request = msgspec.structs.replace(REQUEST, target=TARGET, raw_query="")
        assert await bench.forward(Response(), request=request)
        (exchange,) = bench.servants[0].served
        assert exchange.request.target == TARGET

    with_bench(scenario, answer_whole)


def test_a_stream_arrives_once_and_in_order():
    async def scenario(bench):
        response = Response()
        assert await bench.forward(response)
        assert response.body == WHOLE and response.ended

    with_bench(scenario, stream)


# Guards against answers that are lost, doubled or served twice when the connection between two
# hosts is.
def test_an_answer_survives_lost_connections():
    async def scenario(bench):
        response = Response()
        task = await curio.spawn(bench.forward(response))
        for _ in range(5):
            await curio.sleep(0.04)
            for connection in bench.relays.links.values():
                await connection.close()
        assert await task.join()
        assert response.body == WHOLE and response.ended
        assert len(bench.servants[0].served) == 1

    with_bench(scenario, stream)


# Guards against a request that runs twice as its first message is sent anew.
def test_a_request_whose_host_forgets_it_is_unknown_and_not_sent_again():
    async def scenario(bench):
        async def forget(exchange):
            for server in bench.servers:
                server.relays.clear()
            for connection in bench.relays.links.values():
                await connection.close()
            await curio.sleep(5.0)

        for servant in bench.servants:
            servant.script = forget
        with pytest.raises(exceptions.UpstreamError) as caught:
            await bench.forward(Response())
        assert caught.value.sent
        assert sum(len(servant.served) for servant in bench.servants) == 1

    with_bench(scenario, answer_whole, answer_whole)


def test_another_host_is_asked_if_the_first_promises_that_nothing_ran():
    async def scenario(bench):
        response = Response()
        assert await bench.forward(response)
        assert response.body == b"yes"

    with_bench(scenario, refuse_elsewhere, refuse_elsewhere, answer_whole)


def test_a_host_that_is_gone_is_passed_over():
    async def scenario(bench):
        await bench.cores[0].__aexit__(None, None, None)
        bench.cores.pop(0)
        response = Response()
        assert await bench.forward(response)
        assert response.body == b"yes"

    with_bench(scenario, answer_whole, answer_whole)


def test_nothing_is_served_if_no_host_can():
    async def scenario(bench):
        assert not await bench.forward(Response())

    with_bench(scenario, refuse_elsewhere)
    with_bench(scenario)


@pytest.mark.parametrize(
    ("raised", "may_have_run", "expected"),
    [
        (exceptions.NotRunError("full", retry_after=2.0), False, exceptions.NotRunError),
        (exceptions.NotRunError("full", retry_after=2.0), True, exceptions.HttpError),
        (exceptions.HttpError("who knows", status=502), False, exceptions.HttpError),
        (RuntimeError("bug"), False, exceptions.HttpError),
    ],
)
def test_a_failure_is_told_as_what_it_is(raised, may_have_run, expected):
    async def scenario(bench):
        async def fail(exchange):
            raise raised

        bench.servants[0].script = fail
        with pytest.raises(expected) as caught:
            await bench.forward(Response(), bench.context(may_have_run=may_have_run))
        if expected is exceptions.NotRunError:
            assert caught.value.retry_after == 2.0

    with_bench(scenario, answer_whole)


def test_an_answer_that_breaks_off_is_broken_off_here():
    async def scenario(bench):
        async def break_off(exchange):
            await exchange.start(200, [])
            await exchange.write(b"id: 1\n\n")
            raise exceptions.UpstreamError("broke off", "read", sent=True)

        bench.servants[0].script = break_off
        response = Response()
        with pytest.raises(exceptions.UpstreamError):
            await bench.forward(response)
        assert not response.ended

    with_bench(scenario, answer_whole)


# Guards against work that goes on at a server after the caller at another host has left.
def test_the_work_ends_when_the_caller_leaves():
    async def scenario(bench):
        async def wait(exchange):
            await exchange.start(200, [])
            await curio.sleep(30.0)

        bench.servants[0].script = wait
        task = await curio.spawn(bench.forward(Response()))
        await wait_until(lambda: bench.servants[0].served)
        await task.cancel()
        await wait_until(lambda: bench.servants[0].cancelled == 1, timeout_s=0.4)
        assert not bench.servers[0].relays

    with_bench(scenario, answer_whole)


def test_the_work_ends_when_the_asking_host_is_silent(monkeypatch):
    monkeypatch.setattr(relayserver, "ASKER_TIMEOUT_S", 0.3)
    monkeypatch.setattr(relayserver, "READ_WAIT_S", 0.05)

    async def scenario(bench):
        async def wait(exchange):
            await curio.sleep(30.0)

        bench.servants[0].script = wait
        asker = link.Link(bench.core, "relay-0", bench.cores[0].host.link)
        await asker.call(messages.RelayRequest(1, "POST", "/"), 2.0)
        await wait_until(lambda: bench.servants[0].cancelled == 1, timeout_s=2.0)

    with_bench(scenario, answer_whole)


def test_a_host_takes_over_only_so_many_requests(monkeypatch):
    monkeypatch.setattr(relayserver, "MAX_RELAYS", 2)

    async def scenario(bench):
        async def wait(exchange):
            await curio.sleep(30.0)

        bench.servants[0].script = wait
        tasks = [await curio.spawn(bench.forward(Response())) for _ in range(2)]
        await wait_until(lambda: len(bench.servants[0].served) == 2)
        assert not await bench.forward(Response())
        for task in tasks:
            await task.cancel()

    with_bench(scenario, answer_whole)


# Guards against a slow caller whose answer piles up at the host that serves it.
def test_an_answer_waits_for_a_caller_that_does_not_read(monkeypatch):
    monkeypatch.setattr(relayserver, "MAX_UNREAD_BYTES", 10_000)

    async def scenario(bench):
        written = []

        async def write_much(exchange):
            await exchange.start(200, [])
            for _ in range(100):
                await exchange.write(b"x" * 1000)
                written.append(1000)
            await exchange.end()

        bench.servants[0].script = write_much
        response = Response()
        release = curio.Event()

        async def write_slowly(data):
            response.body += data
            await release.wait()

        response.write = write_slowly
        task = await curio.spawn(bench.forward(response))
        await curio.sleep(0.3)
        assert sum(written) <= 30_000
        await release.set()
        await task.join()
        assert response.body == b"x" * 100_000 and response.ended

    with_bench(scenario, answer_whole)


async def wait_until(condition, timeout_s=2.0):
    async with curio.timeout_after(timeout_s):
        while not condition():
            await curio.sleep(0.005)
