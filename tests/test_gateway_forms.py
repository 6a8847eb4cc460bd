"""Requests and answers of every legal form, and illegal ones, through an entry host's process.

By hand: ``EBONYWHEEL_FORMS_EXAMPLES=20000 EBONYWHEEL_FORMS_SEED=1 scripts/test
tests/test_gateway_forms.py -n 0 -s``.
"""

import collections
import itertools
import os
import threading

import hypothesis
import pytest
from hypothesis import strategies

import formsockets
import httpforms
import platformsystem

EXAMPLES = int(os.environ.get("EBONYWHEEL_FORMS_EXAMPLES", "200"))
SEED = os.environ.get("EBONYWHEEL_FORMS_SEED")
REPORT_INTERVAL_S = 1.0
MAX_PIPELINED = 3
# Requests that a host refuses, as its servers seem to be in trouble after answers that break off.
MAX_REFUSED_SHARE = 0.05
SETTINGS = hypothesis.settings(
    max_examples=EXAMPLES,
    derandomize=SEED is None,
    deadline=None,
    database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
ROUTES = [
    platformsystem.route("book", "/book/"),
    platformsystem.route("look", "/look/", "safe"),
    platformsystem.route("plan", "/plan/", "streaming", "plan"),
]


class Fleet:
    """A system and scripted servers that report as servers do.

    Attributes:
        numbers: Numbers for requests.
        scripts: Answers by number.
        outcomes: How often each kind of outcome was seen.
    """

    def __init__(self, system):
        self.system = system
        self.numbers = itertools.count(1)
        self.scripts = {}
        self.outcomes = collections.Counter()
        self.stopped = threading.Event()
        self.servers = [
            formsockets.FormServer(
                f"form-{number}", service, "puget-a", number % 3 > 0, self.scripts
            )
            for number, service in enumerate(["book", "book", "book", "plan", "plan", "plan"])
        ]
        for server in self.servers:
            system.announce(server)
        self.reporter = threading.Thread(target=self._report, daemon=True)
        self.reporter.start()

    def _report(self):
        while not self.stopped.wait(REPORT_INTERVAL_S):
            for server in self.servers:
                path = f"/api/instances/{server.name}"
                self.system.call_control("PUT", path, server.next_report())

    def close(self):
        self.stopped.set()
        self.reporter.join()
        for server in self.servers:
            server.close()

    def connect(self):
        """Return a new caller's connection."""
        return formsockets.Caller((self.system.entries[0].ip, platformsystem.FRONT_PORT))

    def received(self, number):
        """Return what the servers received of a request."""
        return [request for server in self.servers for request in server.received.get(number, [])]

    def probe(self, caller):
        """Check that a plain request on this connection gets its own answer."""
        number = next(self.numbers)
        caller.send(
            [
                b"POST /look/%d HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: probe-%d\r\n"
                b"Authorization: Token key-1\r\nContent-Length: 0\r\n\r\n" % (number, number)
            ]
        )
        answer = caller.read_answer(b"POST")
        assert answer.status in (200, 502, 503), answer
        if answer.status == 200:
            assert answer.body == b"/look/%d" % number
        self.outcomes[f"probe {answer.status}"] += 1


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    system = platformsystem.System(tmp_path_factory.mktemp("platform"))
    try:
        system.publish(platformsystem.manifest(7, ROUTES))
        started = Fleet(system)
        yield started
        started.close()
        print(dict(sorted(started.outcomes.items())))
        refused = sum(
            count for outcome, count in started.outcomes.items() if outcome.startswith("not sent")
        )
        assert refused <= MAX_REFUSED_SHARE * started.outcomes.total()
        assert not [failure for server in started.servers for failure in server.failures]
        assert system.entries[0].events("handler_failed") == []
        assert system.entries[0].process.poll() is None
    finally:
        system.close()


def send(caller, numbered):
    """Send requests at once, or a single one, whose caller may wait before it sends its body."""
    if len(numbered) == 1 and numbered[0][1].expects:
        number, request, _ = numbered[0]
        head, body = request.encode(number)
        caller.send(httpforms.split(head, request.cuts))
        interim = caller.reader.take_until(b"\r\n\r\n")
        assert interim.startswith(b"HTTP/1.1 100 "), interim
        caller.send([body])
        return
    data = b"".join(part for number, request, _ in numbered for part in request.encode(number))
    caller.send(httpforms.split(data, numbered[0][1].cuts))


def check_received(fleet, number, request, answer):
    """Check what the servers received; return whether any did."""
    received = fleet.received(number)
    if request.breach:
        assert not received
        return False
    assert len(received) <= (2 if request.route == "look" else 1)
    for seen in received:
        if answer.legality == httpforms.LEGAL or not answer.early:
            platformsystem.wait_for(lambda seen=seen: seen.body is not None, "the body")
            assert seen.body == request.body
        assert seen.method == request.method
        assert seen.target == request.path(number)
        assert httpforms.passed_on(seen.fields) == httpforms.passed_on(request.fields)
        assert formsockets.values(seen.fields, b"x-attempt-id") == [request.attempt(number)]
        assert not formsockets.values(seen.fields, httpforms.HOP_FIELD)
    return bool(received)


def check_answer(request, answer, got, reached):
    """Check the answer that a caller got."""
    if request.breach:
        assert 400 <= got.status < 500 or got.status in (501, 505), got
        assert not got.keeps
        return "refused as malformed"
    if not reached:
        assert got.status in (502, 503, 504), got
        return f"not sent, {got.status}"
    if formsockets.values(got.fields, b"x-response-stamp") != [b"stamp"]:
        if answer.needs_probe() and b"server went away" in got.body:
            # The host could not confirm in time that the server still runs.
            assert got.status == 502
            return "not confirmed, 502"
        assert answer.legality != httpforms.LEGAL, got
        assert got.status in (502, 504), got
        return f"no answer, {got.status}"
    assert answer.legality != httpforms.ILLEGAL, got
    assert got.status == answer.status
    assert not formsockets.values(got.fields, httpforms.HOP_FIELD)
    assert httpforms.passed_on(got.fields) == httpforms.passed_on(answer.fields)
    if answer.legality == httpforms.LENIENT:
        assert answer.body.startswith(got.body)
        return "answered, perhaps not whole"
    assert got.body == answer.body
    if request.method == b"HEAD" or answer.status == 304:
        assert (
            formsockets.values(got.fields, b"content-length")
            == formsockets.values(answer.framing_fields, b"Content-Length")[:1]
        )
    return "answered"


def exchange_raw(fleet, data, method=b"POST", old=False):
    """Send bytes over a new connection and return the answer."""
    with fleet.connect() as caller:
        caller.send([data])
        return caller.read_answer(method, old)


def raw_head(number, method=b"POST", route=b"book", version=b"1.1", fields=b"", query=b""):
    """Return the head of a request, without its framing."""
    return (
        b"%s /%s/%d%s HTTP/%s\r\nHost: a.example\r\nX-Attempt-Id: raw-%d\r\n"
        b"Authorization: Token key-1\r\nX-Token-Counts: 10,10\r\n%s"
    ) % (method, route, number, query, version, number, fields)


# Guards against HEAD requests that cannot be read and whose connection is closed without an answer.
@pytest.mark.parametrize(
    ("rest", "status"),
    [
        (b"Transfer-Encoding: chunked\r\n\r\nzz\r\n", 400),
        (b"Content-Length: 5\r\nX-Long: " + b"v" * 17_000 + b"\r\n\r\n", 431),
        (b"Content-Length: 9999999\r\n\r\n", 413),
    ],
    ids=["malformed body", "long fields", "long body"],
)
def test_an_unreadable_head_request_is_refused_with_an_answer(fleet, rest, status):
    got = exchange_raw(fleet, raw_head(next(fleet.numbers), b"HEAD") + rest, b"HEAD")
    assert (got.status, got.keeps) == (status, False)


# Guards against a stream or a long answer that breaks off and that a caller of HTTP/1.0, which gets
# neither a length nor chunks, takes for whole.
@pytest.mark.parametrize(
    ("route", "body"), [(b"plan", b"id: 1\ndata: a\n\n"), (b"book", b"long answer " * 30_000)]
)
def test_an_answer_that_breaks_off_is_not_whole_for_http_1_0(fleet, route, body):
    number = next(fleet.numbers)
    fleet.scripts[number] = httpforms.plain_answer(
        framing_fields=[(b"Transfer-Encoding", b"chunked")],
        framed_body=b"%x\r\n%s\r\nzz\r\n" % (len(body), body),
        legality=httpforms.ILLEGAL,
    )
    head = raw_head(number, route=route, version=b"1.0") + b"\r\n"
    with pytest.raises(formsockets.BrokenAnswerError):
        exchange_raw(fleet, head, old=True)
    assert len(fleet.received(number)) == 1


# Guards against lengths that the host states of its own for answers that have no body.
@pytest.mark.parametrize("route", [b"book", b"plan"])
@pytest.mark.parametrize(
    ("method", "status", "framing", "lengths"),
    [
        (b"HEAD", 200, [(b"Content-Length", b"1234")], [b"1234"]),
        (b"HEAD", 404, [(b"Content-Length", b"1234")], [b"1234"]),
        (b"HEAD", 200, [(b"Transfer-Encoding", b"chunked")], []),
        (b"GET", 304, [(b"Content-Length", b"1234")], [b"1234"]),
        (b"GET", 304, [], []),
        (b"GET", 204, [], []),
    ],
)
def test_the_length_of_an_answer_without_a_body_is_the_servers(
    fleet, route, method, status, framing, lengths
):
    number = next(fleet.numbers)
    fleet.scripts[number] = httpforms.plain_answer(status=status, framing_fields=framing)
    got = exchange_raw(fleet, raw_head(number, method, route) + b"\r\n", method)
    assert (got.status, got.keeps, got.body) == (status, True, b"")
    assert formsockets.values(got.fields, b"content-length") == lengths


# Guards against fields that concern one connection only, as Connection names them, and that are
# passed on.
@pytest.mark.parametrize("route", [b"book", b"look", b"plan"])
@pytest.mark.parametrize("options", [b"X-Hop", b"keep-alive,x-hop", b"a ,,\tX-HOP , b"])
def test_a_field_for_one_connection_is_not_passed_on(fleet, route, options):
    number = next(fleet.numbers)
    fields = [(b"Connection", options), (b"X-Hop", b"1"), (b"X-F-A", b"2"), (b"x-hop", b"3")]
    lines = b"".join(b"%s: %s\r\n" % field for field in fields)
    fleet.scripts[number] = httpforms.plain_answer(fields=fields)
    got = exchange_raw(fleet, raw_head(number, route=route, fields=lines) + b"\r\n")
    (received,) = fleet.received(number)
    for seen in (got, received):
        assert not formsockets.values(seen.fields, b"x-hop")
        assert formsockets.values(seen.fields, b"x-f-a") == [b"2"]


# Guards against a target whose query is empty and that arrives without its question mark.
@pytest.mark.parametrize("prefix", [b"", b"http://a.example", b"HTTP://user@a.example:80"])
@pytest.mark.parametrize("query", [b"", b"?", b"??", b"?a=b?", b"/?", b"//x;y=%%?"])
def test_a_target_arrives_as_it_was_sent(fleet, prefix, query):
    number = next(fleet.numbers)
    head = raw_head(number, query=query).replace(b"/", prefix + b"/", 1)
    assert exchange_raw(fleet, head + b"\r\n").status == 200
    (received,) = fleet.received(number)
    assert received.target == b"/book/%d%s" % (number, query)


# Guards against a request that is refused as an empty line comes before it, which HTTP has servers
# ignore, as some callers end a body with one.
@pytest.mark.parametrize("empty", [b"\r\n", b"\n", b"\r\n\r\n"])
@pytest.mark.parametrize("at_once", [True, False])
def test_empty_lines_before_requests_are_ignored(fleet, empty, at_once):
    numbers = [next(fleet.numbers) for _ in range(3)]
    requests = [empty + raw_head(number) + b"Content-Length: 4\r\n\r\nbody" for number in numbers]
    with fleet.connect() as caller:
        if at_once:
            caller.send([b"".join(requests)])
        for number, request in zip(numbers, requests, strict=True):
            if not at_once:
                caller.send([request[:1], request[1:]])
            got = caller.read_answer(b"POST")
            assert (got.status, got.body) == (200, b"/book/%d" % number)


CONTROL_BYTES = [bytes([byte]) for byte in (0x01, 0x08, 0x0E, 0x1B, 0x1F, 0x7F)]


# Guards against control bytes in field values, which HTTP does not allow, and which end up in logs
# and terminals at the other side.
@pytest.mark.parametrize("byte", CONTROL_BYTES)
@pytest.mark.parametrize("route", [b"book", b"look", b"plan"])
def test_a_control_byte_in_a_value_is_refused(fleet, route, byte):
    number = next(fleet.numbers)
    bad = b"X-Bad: a%sb\r\n" % byte
    got = exchange_raw(fleet, raw_head(number, route=route, fields=bad) + b"\r\n")
    assert (got.status, got.keeps, fleet.received(number)) == (400, False, [])
    fleet.scripts[number] = httpforms.plain_answer(
        framing_fields=[(b"X-Bad", b"a%sb" % byte), (b"Content-Length", b"0")],
        legality=httpforms.ILLEGAL,
    )
    with fleet.connect() as caller:
        caller.send([raw_head(number, route=route) + b"\r\n"])
        assert caller.read_answer(b"POST").status == 502
        fleet.probe(caller)


@(hypothesis.seed(int(SEED)) if SEED else lambda test: test)
@SETTINGS
@hypothesis.given(
    drawn=strategies.lists(httpforms.exchanges(), min_size=1, max_size=MAX_PIPELINED),
    at_once=strategies.booleans(),
)
def test_each_request_has_one_whole_answer_or_a_visible_break(fleet, drawn, at_once):
    numbered = [(next(fleet.numbers), request, answer) for request, answer in drawn]
    for number, _, answer in numbered:
        fleet.scripts[number] = answer
    with fleet.connect() as caller:
        if at_once:
            send(caller, numbered)
        answered = 0
        for exchange in numbered:
            if not at_once:
                send(caller, [exchange])
            if not check_exchange(fleet, caller, *exchange):
                break
            answered += 1
        else:
            fleet.probe(caller)
        for number, _, _ in numbered[answered + 1 :]:
            assert not fleet.received(number)
    with fleet.connect() as other:
        fleet.probe(other)
    assert fleet.system.entries[0].process.poll() is None


def check_exchange(fleet, caller, number, request, answer):
    """Read and check the answer to a request; return whether its connection stays open."""
    try:
        got = caller.read_answer(request.method, request.wire_version == b"HTTP/1.0")
    except formsockets.BrokenAnswerError:
        reached = check_received(fleet, number, request, answer)
        assert reached and answer.legality != httpforms.LEGAL
        fleet.outcomes["broken off"] += 1
        return False
    reached = check_received(fleet, number, request, answer)
    fleet.outcomes[check_answer(request, answer, got, reached)] += 1
    if got.keeps:
        assert not request.closes
        return True
    if request.breach:
        # The method of a malformed head is unknown: its answer may have a body even for HEAD.
        caller.reader.take_rest()
    assert caller.has_ended()
    return False
