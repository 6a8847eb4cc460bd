"""Content types and bodies of every form in calls to plain services."""

import os

import hypothesis
import msgspec
import pytest
from hypothesis import strategies

import callbench
import httpforms
from ebonywheel import calls, documents, exceptions, http, policies

EXAMPLES = int(os.environ.get("EBONYWHEEL_FORMS_EXAMPLES", "100"))
SETTINGS = hypothesis.settings(
    max_examples=EXAMPLES, derandomize=True, deadline=None, database=None
)
CALLS = [("POST", "/slots"), ("GET", "/rota")]


# With time for each call on a busy machine: no time limit is tested here.
ROTA = msgspec.structs.replace(callbench.DOCUMENT.services["rota"], timeout_s=30.0)


def make_request(method, path, content_type, body):
    """Return a caller's request for a call."""
    fields = [("idempotency-key", callbench.new_key())]
    if content_type is not None:
        fields.append(("content-type", content_type.decode("latin-1")))
    target = f"/v1/services/rota{calls.CALLS_SEGMENT}{path}"
    return http.Request(method, target, {}, dict(fields), body, "caller", "", fields)


@hypothesis.given(
    call=strategies.sampled_from(CALLS),
    asked=strategies.none() | httpforms.field_values,
    answered=strategies.none() | httpforms.field_values,
    bodies=strategies.tuples(strategies.binary(max_size=50), strategies.binary(max_size=50)),
    status=strategies.integers(200, httpforms.MAX_STATUS).filter(
        lambda status: status not in (204, 304)
    ),
)
@hypothesis.example(("GET", "/rota"), b"text/plain;\tcharset=utf-8", b"caf\xe9", (b"", b""), 200)
@hypothesis.example(("POST", "/slots"), b"caf\xe9", b"text/plain;\tx=y", (b"", b""), 200)
@SETTINGS
def test_content_types_and_bodies_pass_unchanged(call, asked, answered, bodies, status):
    async def scenario(bench):
        (service,) = bench.services
        line = b"" if answered is None else b"content-type: %s\r\n" % answered
        head = b"HTTP/1.1 %d x\r\n%scontent-length: %d\r\n\r\n"
        service.script = callbench.Script(answer=head % (status, line, len(bodies[1])) + bodies[1])
        request = make_request(*call, asked, bodies[0])
        job = policies.Job("rota", "orchard", 0, "", "north")
        answer = await bench.host("a").calls.run(job, ROTA, request)
        assert (answer.status, answer.body) == (status, bodies[1])
        if answered is not None:
            assert answer.content_type.encode("latin-1") == answered
        (received,) = service.requests
        received_head, _, received_body = received.partition(b"\r\n\r\n")
        assert received_body == bodies[0]
        if asked is not None:
            assert b"content-type: " + asked in received_head.split(b"\r\n")

    callbench.run(scenario)


# Guards against an answer with a status that does not exist.
@pytest.mark.parametrize("status", ["000", "099", "600", "999"])
def test_an_odd_status_leaves_a_call_open(status):
    async def scenario(bench):
        (service,) = bench.services
        answer = f"HTTP/1.1 {status} x\r\ncontent-length: 0\r\n\r\n".encode()
        service.script = callbench.Script(answer=answer)
        request = make_request("POST", "/slots", None, b"")
        job = policies.Job("rota", "orchard", 0, "", "north")
        with pytest.raises(exceptions.UnknownOutcomeError):
            await bench.host("a").calls.run(job, ROTA, request)

    callbench.run(scenario)


def test_the_document_has_the_calls_that_are_tested():
    assert all(documents.find_call(ROTA, method, path) for method, path in CALLS)
