"""Requests and answers of every form that HTTP/1.1 allows, and of many that it does not."""

import dataclasses

from hypothesis import strategies

# Every byte that a field value may not have is mapped to one that it may have.
LEGAL_VALUE_BYTES = bytes(
    byte if byte == 0x09 or 0x20 <= byte != 0x7F else byte | 0x80 for byte in range(256)
)
# Names start like this so that fields that the gateway adds are told apart.
FIELD_PREFIX = b"x-f-"
HOP_FIELD = b"x-hop"
ROUTES = ("book", "look", "plan")
# Highest status that an answer may have.
MAX_STATUS = 599
STATUSES_WITHOUT_BODY = (204, 304)
MAX_CHUNK = 64 * 1024

# Whether an answer can and must be passed on: the gateway may do either with one that is legal
# only by leniency.
LEGAL, LENIENT, ILLEGAL = "legal", "lenient", "illegal"


@dataclasses.dataclass
class Message:
    """What requests and answers have in common.

    Attributes:
        fields: Fields that must arrive unchanged at the other side, in order.
        framing_fields: Fields that frame the body.
        framed_body: The body as framed.
        wire_version: ``HTTP/1.1`` or ``HTTP/1.0``.
        breach: Name of the rule that the message breaks, empty if none.
        cuts: Shares of the message, in thousandths, after which the writer pauses.
    """

    fields: list
    body: bytes
    framing_fields: list
    framed_body: bytes
    wire_version: bytes
    breach: str
    cuts: list


@dataclasses.dataclass
class Request(Message):
    """A caller's request.

    Attributes:
        route: One of `ROUTES`.
        query: With its question mark.
        attempt_tail: End of its attempt id.
        expects: True if it waits for ``100 Continue`` before it sends its body.
        closes: True if no other request may follow it on its connection.
        prefix: Empty lines before it, which a server ignores.
    """

    route: str
    method: bytes
    query: bytes
    absolute: bool
    attempt_tail: bytes
    extra: list
    expects: bool
    closes: bool
    prefix: bytes

    def path(self, number):
        """Return the target that a server must receive."""
        return b"/%s/%d%s" % (self.route.encode(), number, self.query)

    def encode(self, number):
        """Return the head and the framed body of the request with this number."""
        target = self.path(number)
        if self.absolute:
            target = b"http://a.example" + target
        lines = [b"%s %s %s" % (self.method, target, self.wire_version)]
        fields = [
            (b"Host", b"a.example"),
            (b"X-Attempt-Id", self.attempt(number)),
            (b"X-Deadline-Ms", b"4000"),
            (b"Authorization", b"Token key-1"),
            *self.extra,
            *self.fields,
            *self.framing_fields,
        ]
        if self.route == "plan":
            fields.append((b"X-Token-Counts", b"10,10"))
        lines += [b"%s: %s" % field for field in fields]
        head = b"\r\n".join(lines) + b"\r\n\r\n"
        breach = REQUEST_BREACHES.get(self.breach)
        return self.prefix + (head if breach is None else breach(head)), self.framed_body

    def attempt(self, number):
        """Return the id of the attempt."""
        return b"%d-%s" % (number, self.attempt_tail)


@dataclasses.dataclass
class Answer(Message):
    """A server's answer.

    Attributes:
        interim: Interim answers before it.
        early: True if it is written before the request's body is read.
        closes: True if the server closes the connection after it.
        cut_at: Share of the answer, in thousandths, after which it breaks off; None to complete it.
        resets: True if the server resets the connection instead of closing it.
        hop: True if it has a field for one connection only.
        legality: What the gateway may do with it.
    """

    status: int
    reason: bytes | None
    interim: list
    early: bool
    closes: bool
    cut_at: int | None
    resets: bool
    hop: bool
    legality: str

    def needs_probe(self):
        """Return whether only the end of the connection delimits the body."""
        return self.closes and not self.framing_fields

    def encode(self, attempt):
        """Return the interim answers and the answer to the request with this attempt id."""
        reason = b"" if self.reason is None else b" " + self.reason
        lines = [b"%s %d%s" % (self.wire_version, self.status, reason)]
        fields = [(b"X-Response-Stamp", b"stamp"), *self.fields, *self.framing_fields]
        if attempt:
            fields.append((b"X-Attempt-Id", attempt))
        options = [b"close"] * self.closes + [b"X-Hop"] * self.hop
        if options:
            fields.append((b"Connection", b", ".join(options)))
        if self.hop:
            fields.append((b"X-Hop", b"one hop only"))
        lines += [b"%s: %s" % field for field in fields]
        head = b"\r\n".join(lines) + b"\r\n\r\n"
        breach = ANSWER_BREACHES.get(self.breach)
        if breach is not None:
            head = breach(head)
        return b"".join(self.interim) + head


def _add_line(line):
    def breach(head):
        return head[:-2] + line + b"\r\n\r\n"

    return breach


def _first_line(old, new):
    def breach(head):
        line, end, rest = head.partition(b"\r\n")
        return line.replace(old, new, 1) + end + rest

    return breach


def _drop_host(head):
    return head.replace(b"Host: a.example\r\n", b"")


COMMON_BREACHES = {
    "nul in a value": _add_line(b"X-Bad: a\x00b"),
    "return in a value": _add_line(b"X-Bad: a\rb"),
    "control byte in a value": _add_line(b"X-Bad: a\x01b"),
    "escape in a value": _add_line(b"X-Bad: \x1b[31m"),
    "delete in a value": _add_line(b"X-Bad: a\x7fb"),
    "form feed in a value": _add_line(b"X-Bad: a\x0cb"),
    "space before the colon": _add_line(b"X-Bad : a"),
    "space in a name": _add_line(b"X Bad: a"),
    "no name": _add_line(b": a"),
    "no colon": _add_line(b"X-Bad"),
    "odd byte in a name": _add_line(b"X-B\xe4d: a"),
    "two lengths": _add_line(b"Content-Length: 5\r\nContent-Length: 6"),
    "two lengths in one": _add_line(b"Content-Length: 5, 6"),
    "negative length": _add_line(b"Content-Length: -1"),
    "signed length": _add_line(b"Content-Length: +1"),
    "odd length": _add_line(b"Content-Length: 0x10"),
    "empty length": _add_line(b"Content-Length: "),
    "endless length": _add_line(b"Content-Length: " + b"9" * 5000),
    "unknown coding": _add_line(b"Transfer-Encoding: gzip"),
    "odd version": _first_line(b"HTTP/1.", b"HTTP/x."),
    "lower-case version": _first_line(b"HTTP/1.", b"http/1."),
}
REQUEST_BREACHES = {
    **COMMON_BREACHES,
    "two hosts": _add_line(b"Host: b.example"),
    "no host": _drop_host,
    "odd byte in the target": _first_line(b"/", b"/\xe9"),
    "control byte in the target": _first_line(b"/", b"/\x01"),
    "space in the target": _first_line(b"/", b"/ "),
    "odd method": _first_line(b" ", b"@{} "),
    "too many bytes of fields": _add_line(
        b"\r\n".join(b"X-F-%d: %s" % (n, b"v" * 900) for n in range(20))
    ),
}
ANSWER_BREACHES = {
    **COMMON_BREACHES,
    "short status": _first_line(b" ", b" 2\r\n"),
    "odd status": _first_line(b" ", b" x"),
    "no status line": lambda head: head.partition(b"\r\n")[2],
    "not HTTP": lambda head: b"\x16\x03\x01" + head,
    "switch of protocols": lambda head: (
        b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n"
    ),
    "informational without end": lambda head: b"HTTP/1.1 100 Continue\r\n\r\n" * 50 + head,
    "interim answer below 100": lambda head: b"HTTP/1.1 099 Odd\r\n\r\n" + head,
}
# Framing breaches, by what they make of a body.
BODY_BREACHES = {
    "odd chunk size": lambda body: b"zz\r\n" + body + b"\r\n0\r\n\r\n",
    "signed chunk size": lambda body: b"-5\r\n" + body + b"\r\n0\r\n\r\n",
    "endless chunk size": lambda body: b"f" * 30 + b"\r\n" + body + b"\r\n0\r\n\r\n",
    "chunk without its end": lambda body: b"2\r\nabcd\r\n0\r\n\r\n",
}


def _values(max_size=24):
    raw = strategies.binary(max_size=max_size)
    return raw.map(lambda data: data.translate(LEGAL_VALUE_BYTES).strip(b" \t"))


field_values = strategies.one_of(
    _values(),
    strategies.sampled_from(
        [
            b"",
            b"caf\xe9",
            "café ☕".encode(),
            b"a\tb",
            b"a  b",
            b"\xa0a\xa0",
            b"\x85",
            b"\xff\xfe",
            b'"quoted \\" text", more',
            b"{\"a\": '\\u0000'}",
            b"%s%(x)s{0}%00",
            b"v" * 3000,
            b"\xe9" * 3000,
        ]
    ),
)
field_names = strategies.sampled_from(
    [
        FIELD_PREFIX + b"a",
        b"X-F-A",
        FIELD_PREFIX + b"b",
        FIELD_PREFIX + b"!#$%&'*+.^_`|~09",
        b"X-f-Long" + b"g" * 200,
    ]
)
field_lists = strategies.lists(strategies.tuples(field_names, field_values), max_size=4)
# A header section that is nearly as long as allowed.
long_field_lists = field_values.map(
    lambda value: [(b"X-F-%d" % number, (value * 700)[:700].strip(b" \t")) for number in range(18)]
)
cookies = strategies.lists(field_values, max_size=3).map(
    lambda values: [(b"Set-Cookie", value) for value in values]
)
cut_lists = strategies.lists(strategies.integers(0, 999), max_size=3).map(sorted)
plain_bodies = strategies.one_of(
    strategies.just(b""), strategies.binary(max_size=60), strategies.just(bytes(range(256)) * 40)
)
event_bodies = strategies.lists(strategies.integers(0, 99), min_size=1, max_size=4).map(
    lambda ids: b"".join(b"id: %d\ndata: caf\xe9\n\n" % number for number in ids)
)
chunk_extensions = strategies.sampled_from([b"", b";a", b";a=b", b'; a="x;y"'])
trailers = strategies.sampled_from([b"", b"X-Trailer: a\r\n", b"X-Trailer: caf\xe9\r\nX-Two:\r\n"])


@strategies.composite
def chunked(draw, body):
    """Draw a chunked form of a body."""
    parts = []
    position = 0
    while position < len(body):
        size = draw(strategies.sampled_from([1, 7, 100, MAX_CHUNK]))
        part = body[position : position + size]
        digits = b"%X" if draw(strategies.booleans()) else b"000%x"
        parts.append(digits % len(part) + draw(chunk_extensions) + b"\r\n" + part + b"\r\n")
        position += size
        if len(parts) == 5:
            rest = body[position:]
            parts += [b"%x\r\n%s\r\n" % (len(rest), rest)] if rest else []
            break
    return b"".join(parts) + b"0" + draw(chunk_extensions) + b"\r\n" + draw(trailers) + b"\r\n"


def one_in(number):
    """Return a strategy for true in one of so many cases."""
    return strategies.integers(1, number).map(lambda drawn: drawn == number)


@strategies.composite
def requests(draw):
    """Draw a request, an illegal one in one of six cases."""
    breach = draw(strategies.sampled_from(sorted(REQUEST_BREACHES))) if draw(one_in(6)) else ""
    route = draw(strategies.sampled_from(ROUTES))
    method = draw(
        strategies.sampled_from(
            [b"POST", b"GET", b"HEAD", b"PUT", b"DELETE", b"OPTIONS", b"PATCH", b"TRACE", b"x!~b"]
        )
    )
    old = draw(one_in(8)) and not breach
    body = draw(plain_bodies)
    framing, framed = [], b""
    kind = (
        "none" if breach else draw(strategies.sampled_from(["none", "sized", "chunked", "twice"]))
    )
    if kind == "none" or (kind == "chunked" and old):
        body = b""
    elif kind == "chunked":
        framing, framed = [(b"Transfer-Encoding", b"Chunked")], draw(chunked(body))
        if draw(one_in(8)):
            breach = draw(strategies.sampled_from(sorted(BODY_BREACHES)))
            framed = BODY_BREACHES[breach](body)
    else:
        framing, framed = [(b"Content-Length", b"%d" % len(body))], body
        if kind == "twice":
            framing = framing * 2
    connection = draw(
        strategies.sampled_from(
            [None, None, None, b"keep-alive", b"close", b"x-hop", b"Keep-Alive, X-Hop", b"Upgrade"]
        )
    )
    extra = [] if connection is None else [(b"Connection", connection)]
    if connection is not None and b"hop" in connection.lower():
        extra.append((b"X-Hop", b"one hop only"))
    if connection == b"Upgrade":
        extra.append((b"Upgrade", b"h2c, websocket"))
    expects = bool(framed) and not old and not breach and draw(one_in(4))
    if expects:
        extra.append((b"Expect", b"100-Continue"))
    fields = draw(long_field_lists if draw(one_in(30)) else field_lists)
    return Request(
        fields=fields,
        body=body,
        framing_fields=framing,
        framed_body=framed,
        wire_version=b"HTTP/1.0" if old else b"HTTP/1.1",
        breach=breach,
        cuts=draw(cut_lists),
        route=route,
        method=method,
        query=draw(strategies.sampled_from([b"", b"?a=b", b"?", b"?%00&a=%ff=+", b"/x;y?a?b&&"])),
        absolute=draw(one_in(8)),
        attempt_tail=draw(_values(12)),
        extra=extra,
        expects=expects,
        closes=old or connection == b"close",
        prefix=b"\r\n" if draw(one_in(10)) else b"",
    )


@strategies.composite
def answers(draw, request):
    """Draw an answer to a request, an illegal or broken one in one of five cases."""
    fault = draw(strategies.sampled_from(["", "", "", "", "", "", "", "head", "cut", "body"]))
    breach = draw(strategies.sampled_from(sorted(ANSWER_BREACHES))) if fault == "head" else ""
    # Any server may refuse with 421 what is meant for another; that is never passed on.
    status = draw(
        strategies.one_of(
            strategies.just(200),
            strategies.sampled_from([201, 204, 205, 206, 302, 304, 404, 408, 429, 500, 503, 999]),
            strategies.integers(200, 999).filter(lambda status: status != 421),
        )
    )
    streamed = request.route == "plan" and status == 200
    body = draw(event_bodies if streamed else plain_bodies)
    # A failure of a stream's server may have 256 KiB at most.
    if draw(one_in(40)) and request.route != "plan":
        body = b"long answer " * 30_000
    old = draw(one_in(8))
    closes = old or draw(one_in(4))
    without_body = status in STATUSES_WITHOUT_BODY or request.method == b"HEAD"
    kinds = ["sized", "sized", "none"] if old else ["sized", "sized", "chunked", "none", "twice"]
    kind = draw(strategies.sampled_from(kinds))
    if status == 205:
        body = b""
    if status == 204:
        kind = "none"
    framing, framed = [], body
    if fault == "body" and not without_body and status != 205:
        breach = draw(strategies.sampled_from(sorted(BODY_BREACHES)))
        framing, framed = [(b"Transfer-Encoding", b"chunked")], BODY_BREACHES[breach](body)
    elif kind == "chunked":
        framing, framed = [(b"Transfer-Encoding", b"chunked")], draw(chunked(body))
    elif kind != "none":
        framing = [(b"Content-Length", b"%d" % len(body))] * (2 if kind == "twice" else 1)
    elif not without_body:
        closes = True
    cut_at = draw(strategies.integers(0, 999)) if fault == "cut" else None
    interim = draw(
        strategies.lists(
            strategies.sampled_from(
                [
                    b"HTTP/1.1 100 Continue\r\n\r\n",
                    b"HTTP/1.1 102 \r\nX-F-Interim: caf\xe9\r\n\r\n",
                    b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\nLink: </b>\r\n\r\n",
                    b"HTTP/1.1 199\r\n\r\n",
                ]
            ),
            max_size=2,
        )
    )
    ends_with_connection = kind == "none" and not without_body
    legality = LEGAL
    resets = cut_at is not None and draw(strategies.booleans())
    if breach or cut_at is not None:
        # A cut within a body that ends with its connection may show nowhere.
        legality = LENIENT if ends_with_connection and not (breach or resets) else ILLEGAL
    if status > MAX_STATUS:
        legality = ILLEGAL
    return Answer(
        fields=[
            *draw(long_field_lists if draw(one_in(30)) else field_lists),
            *draw(cookies),
        ],
        body=b"" if without_body else body,
        framing_fields=framing,
        framed_body=b"" if without_body else framed,
        wire_version=b"HTTP/1.0" if old else b"HTTP/1.1",
        breach=breach,
        cuts=draw(cut_lists),
        status=status,
        reason=draw(strategies.one_of(strategies.none(), _values(12))),
        interim=interim,
        early=draw(one_in(8)),
        closes=closes,
        cut_at=cut_at,
        resets=resets,
        hop=draw(one_in(6)),
        legality=legality,
    )


@strategies.composite
def exchanges(draw):
    """Draw a request and the answer to it."""
    request = draw(requests())
    return request, draw(answers(request))


def plain_answer(**changes):
    """Return an answer of status 200 without a body, with changes to its attributes."""
    plain = Answer(
        fields=[],
        body=b"",
        framing_fields=[(b"Content-Length", b"0")],
        framed_body=b"",
        wire_version=b"HTTP/1.1",
        breach="",
        cuts=[],
        status=200,
        reason=b"OK",
        interim=[],
        early=False,
        closes=False,
        cut_at=None,
        resets=False,
        hop=False,
        legality=LEGAL,
    )
    return dataclasses.replace(plain, **changes)


def passed_on(fields):
    """Return the fields that have to arrive unchanged, with lower-case names."""
    lowered = [(name.lower(), value) for name, value in fields]
    return [field for field in lowered if field[0].startswith(FIELD_PREFIX) or _is_cookie(field)]


def _is_cookie(field):
    return field[0] == b"set-cookie"


def split(data, cuts):
    """Return the parts of some bytes, cut at shares in thousandths."""
    positions = [0, *(len(data) * cut // 1000 for cut in cuts), len(data)]
    return [data[start:end] for start, end in zip(positions, positions[1:], strict=False)]
