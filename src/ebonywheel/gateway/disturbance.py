"""Cost of reading a prompt at an engine whose running streams have a target for their pauses.

An engine reads prompts in chunks between the steps of its running generations. On engines whose
pauses are near the target as it is, each prompt makes some of the streams beside it late. So
prompts go by preference where no such streams run, and such streams where few prompts arrive.
"""

import typing

# Cost of a stream that is made late for certain, as a share of a server's capacity.
LATE_STREAM_COST = 3.0
# Requests of other kinds that an engine gets while a long stream runs there, for each that it has
# in flight now: they take a fraction of the stream's time.
LATER_REQUESTS = 4.0
# Late shares below this are chance, or have other causes than prompts.
MIN_LATE_SHARE = 0.03


class Load(typing.Protocol):
    """Load of a server from this host and from all others."""

    requests: int
    streams: int
    other_requests: int
    other_streams: int


def cost(load: Load, late_share: float, unread: int, is_stream: bool) -> float:
    """Return the expected loss by reading a prompt at a server, as a share of its capacity.

    Args:
        load: Its load.
        late_share: Share of the seconds of its streams that have a pause over the target.
        unread: Tokens of the prompt.
        is_stream: Whether the request is itself a long stream with a target for its pauses.
    """
    if late_share < MIN_LATE_SHARE or not unread:
        return 0.0
    streams = load.streams + load.other_streams
    others = load.requests + load.other_requests - streams
    lost = late_share * streams
    if is_stream:
        lost += min(1.0, late_share * LATER_REQUESTS * max(0, others))
    return LATE_STREAM_COST * lost
