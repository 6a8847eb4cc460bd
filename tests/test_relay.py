"""Fuzz of one stream: each token once, in order, over connections that fail in any way."""

import curio
import hypothesis
from hypothesis import strategies

from ebonywheel import engineclient, exceptions, feed, messages, placement, relay
from homes import make_announcement, make_clock

LENGTH = 20

# What one connection does: how many tokens it sends, from where, and how it ends.
connections = strategies.lists(
    strategies.tuples(
        strategies.integers(-4, 3),
        strategies.integers(0, LENGTH),
        strategies.sampled_from(["cut", "end", "early end", "silent", "refused", "replaced"]),
    ),
    max_size=6,
)


class FakeEngine:
    """An engine whose next connections follow a script; later ones are sound."""

    def __init__(self, script):
        self.script = list(script)
        self.opened = 0

    def __call__(self, state):
        return FakeStream(self)


class FakeStream:
    def __init__(self, engine):
        self.engine = engine
        self.events = []
        self.failure = None

    async def connect(self):
        self.engine.opened += 1

    async def generate(self, request, timeout_s):
        self.plan(0)

    async def resume(self, generation, index, timeout_s):
        self.plan(index)

    def plan(self, index):
        shift, count, ending = (0, LENGTH, "end")
        if self.engine.script:
            shift, count, ending = self.engine.script.pop(0)
        if ending == "refused":
            raise exceptions.UpstreamError("refused", "read", "x", True)
        first = max(0, index + shift)
        data = [b"%d" % number for number in range(first, min(LENGTH, first + count))]
        if data:
            self.events.append(engineclient.Tokens(first, data))
        if ending == "end":
            rest = [b"%d" % number for number in range(first + len(data), LENGTH)]
            self.events += [engineclient.Tokens(first + len(data), rest)] if rest else []
            self.events.append(engineclient.End(LENGTH))
        elif ending == "early end":
            self.events.append(engineclient.End(LENGTH))
        elif ending == "replaced":
            self.events.append(engineclient.Replaced())

    async def read(self, timeout_s):
        if not self.events:
            raise exceptions.UpstreamError("nothing received in time", "read", "x", True)
        return [self.events.pop(0)]

    async def close(self):
        self.events = []


class FakeFleet:
    def __init__(self):
        self.released = []

    def check_loan(self, holding):
        return

    async def release(self, holding, outcome):
        self.released.append(outcome)


class Sink:
    resumable = True

    def __init__(self):
        self.seen = []

    def started(self, stream):
        return

    async def tokens(self, stream, first, data):
        self.seen.extend(zip(range(first, first + len(data)), data, strict=True))

    def restart(self):
        return not self.seen


class Source:
    require_in_service = feed.Feed.require_in_service

    def require_lease(self):
        return self

    out = frozenset()


class Core:
    def __init__(self):
        self.clock = make_clock()
        self.metrics = self
        self.counted = []

    def count(self, name, amount=1, **labels):
        self.counted.append(name)

    def observe(self, name, seconds, **labels):
        return


def carry(script):
    """Relay one generation over scripted connections; return sink, outcome and error."""
    engine, core, held, sink = FakeEngine(script), Core(), FakeFleet(), Sink()
    view = messages.ServerView(make_announcement().state)
    place = placement.Placement(view, messages.Holding("loan", "planner-1", 1, "plan", "press"))
    carrier = relay.Relay(core, held, Source(), place, sink)

    async def cancel(state, loan):
        return True

    async def run():
        saved = engineclient.EngineStream, engineclient.cancel, relay.RESUME_PAUSE_S
        engineclient.EngineStream, engineclient.cancel, relay.RESUME_PAUSE_S = engine, cancel, 0
        try:
            await carrier.run(engineclient.GenerateRequest("loan", "plan", LENGTH))
        except exceptions.UpstreamError as error:
            return error
        finally:
            engineclient.EngineStream, engineclient.cancel, relay.RESUME_PAUSE_S = saved
        return None

    return sink, held.released, curio.run(run())


class TestStream:
    @hypothesis.settings(max_examples=400, derandomize=True, deadline=None, database=None)
    @hypothesis.given(connections)
    def test_reader_sees_each_token_once_and_in_order(self, script):
        sink, released, error = carry(script)
        whole = [(number, b"%d" % number) for number in range(LENGTH)]
        assert sink.seen == whole[: len(sink.seen)]
        assert len(released) == 1
        if error is None:
            assert (sink.seen, released) == (whole, ["finished"])
        else:
            assert released[0] in ("cancelled", "detached")
            assert not sink.seen or isinstance(error, relay.Superseded)
