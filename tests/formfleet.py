"""A system with scripted servers, and checks of what passes through it."""

import collections
import contextlib
import itertools
import os
import threading

import hypothesis

import formsockets
import httpforms
import platformsystem

EXAMPLES = int(os.environ.get("EBONYWHEEL_FORMS_EXAMPLES", "200"))
RELAYED_EXAMPLES = max(1, EXAMPLES // 5)
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


def seeded(test):
    """Seed a property as asked for by hand."""
    return hypothesis.seed(int(SEED))(test) if SEED else test


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


@contextlib.contextmanager
def running_fleet(folder, entries=1):
    system = platformsystem.System(folder, entries, partitionable=entries > 1)
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
        if got.status == 502 and b"relay lost" in got.body:
            # The other host did not tell the outcome in time.
            return "relay lost, 502"
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


def check_connection(fleet, drawn, at_once):
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
