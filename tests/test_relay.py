"""Fuzz test of the relay: each token once and in order over failing connections."""

import curio
import hypothesis
from hypothesis import strategies

from ebonywheel import engineclient, exceptions, feed, messages, placement, relay
from homes import make_announcement, make_clock

TOKEN_COUNT = 20

# Each connection: offset of its first token from the index asked for, number of tokens, ending.
connection_scripts = strategies.lists(
    strategies.tuples(
        strategies.integers(-4, 3),
        strategies.integers(0, TOKEN_COUNT),
        strategies.sampled_from(["cut", "end", "early end", "silent", "refused", "replaced"]),
    ),
    max_size=6,
)


class FakeEngine:
    """An engine whose first connections follow a script; later ones deliver all tokens."""

    def __init__(self, script):
        self.script = list(script)
        self.connection_count = 0

    def __call__(self, state):
        return FakeStream(self)


class FakeStream:
    def __init__(self, engine):
        self.engine = engine
        self.events = []
        self.failure = None

    async def connect(self):
        self.engine.connection_count += 1

    async def generate(self, request, timeout_s):
        self._play_connection(0)

    async def resume(self, generation, index, timeout_s):
        self._play_connection(index)

    def _play_connection(self, index):
        index_offset, count, ending = (0, TOKEN_COUNT, "end")
        if self.engine.script:
            index_offset, count, ending = self.engine.script.pop(0)
        if ending == "refused":
            raise exceptions.UpstreamError("refused", "read", "x", True)
        first_index = max(0, index + index_offset)
        tokens = [
            b"%d" % token for token in range(first_index, min(TOKEN_COUNT, first_index + count))
        ]
        if tokens:
            self.events.append(engineclient.Tokens(first_index, tokens))
        if ending == "end":
            remaining_tokens = [
                b"%d" % token for token in range(first_index + len(tokens), TOKEN_COUNT)
            ]
            self.events += (
                [engineclient.Tokens(first_index + len(tokens), remaining_tokens)]
                if remaining_tokens
                else []
            )
            self.events.append(engineclient.End(TOKEN_COUNT))
        elif ending == "early end":
            self.events.append(engineclient.End(TOKEN_COUNT))
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


class RecordingSink:
    resumable = True

    def __init__(self):
        self.received = []

    def on_started(self, stream_id):
        return

    async def write_tokens(self, stream_id, first_index, tokens):
        self.received.extend(
            zip(range(first_index, first_index + len(tokens)), tokens, strict=True)
        )

    def try_reset(self):
        return not self.received


class FakeFeed:
    require_in_service = feed.Feed.require_in_service

    def require_lease(self):
        return self

    out = frozenset()


class FakeCore:
    def __init__(self):
        self.clock = make_clock()
        self.metrics = self
        self.counted = []

    def count(self, name, amount=1, **labels):
        self.counted.append(name)

    def observe(self, name, seconds, **labels):
        return


def relay_generation(script):
    """Relay a generation over scripted connections; return sink, loan outcomes and error."""
    engine, core, fake_fleet, sink = FakeEngine(script), FakeCore(), FakeFleet(), RecordingSink()
    server_view = messages.ServerView(make_announcement().state)
    placed = placement.Placement(
        server_view, messages.Holding("loan", "planner-1", 1, "plan", "press")
    )
    token_relay = relay.TokenRelay(core, fake_fleet, FakeFeed(), placed, sink)

    async def cancel(state, loan):
        return True

    async def run():
        originals = engineclient.EngineStream, engineclient.cancel, relay.RESUME_RETRY_DELAY_S
        engineclient.EngineStream, engineclient.cancel, relay.RESUME_RETRY_DELAY_S = (
            engine,
            cancel,
            0,
        )
        try:
            await token_relay.run(engineclient.GenerateRequest("loan", "plan", TOKEN_COUNT))
        except exceptions.UpstreamError as error:
            return error
        finally:
            engineclient.EngineStream, engineclient.cancel, relay.RESUME_RETRY_DELAY_S = originals
        return None

    return sink, fake_fleet.released, curio.run(run())


class TestTokenRelay:
    @hypothesis.settings(max_examples=400, derandomize=True, deadline=None, database=None)
    @hypothesis.given(connection_scripts)
    def test_sink_gets_each_token_once_and_in_order(self, script):
        sink, released, error = relay_generation(script)
        expected = [(index, b"%d" % index) for index in range(TOKEN_COUNT)]
        assert sink.received == expected[: len(sink.received)]
        assert len(released) == 1
        if error is None:
            assert (sink.received, released) == (expected, ["finished"])
        else:
            assert released[0] in ("cancelled", "detached")
            assert not sink.received or isinstance(error, relay.SupersededError)
