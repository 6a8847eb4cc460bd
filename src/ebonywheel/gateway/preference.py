"""Which servers with room a stream should go to, so that not all hosts choose the same few.

Hosts learn late of each other's requests. If few servers have room for what all hosts want, each
host sends them only as many streams as they can take together with those that may be on their way.
"""

import random

import msgspec

from ebonywheel import serverpaces
from ebonywheel.gateway import speeds

# Load up to which a server is preferred to those that miss a target.
PREFERRED_LOAD = 0.9
# Share of the streams with unread prompts that other hosts may have sent without being known yet.
UNSEEN_SHARE = 0.5


class Room(msgspec.Struct):
    """Room of a server.

    Attributes:
        seen: How it answers, as all entry hosts saw it.
        unread: Prompt tokens that it has to read.
        load: Its load with the stream, as a share of its capacity.
    """

    seen: serverpaces.Sums
    unread: int
    load: float


class Stream(msgspec.Struct):
    """A stream to be placed.

    Attributes:
        prompt: Tokens of its prompt.
        load: Load that it adds to a server, as a share of its capacity.
        target_s: Target for its first event.
    """

    prompt: int
    load: float
    target_s: float


def preferred(rooms: list[Room], stream: Stream, compared: speeds.Speeds) -> list[int]:
    """Return the numbers of the servers to compare: those with room that keep the targets.

    All are returned where servers are alike, or none has room.
    """
    everything = list(range(len(rooms)))
    if not compared.reading_differs and not compared.differ:
        return everything
    spare = [_spare_streams(room, stream, compared) for room in rooms]
    # Streams whose prompts are not read yet were sent by all hosts within about the time after
    # which their loads are known.
    on_way = UNSEEN_SHARE * sum(room.unread for room in rooms) / stream.prompt
    in_time = [number for number in everything if spare[number]]
    keeping = in_time
    if compared.stream_s and compared.differ:
        keeping = compared.keeping([(number, rooms[number].seen) for number in in_time])
    for chosen in (keeping, in_time):
        if chosen and random.random() * on_way < sum(spare[number] for number in chosen):
            return chosen
    return everything


def _spare_streams(room: Room, stream: Stream, compared: speeds.Speeds) -> float:
    """Return how many such streams a server could begin in time, with the present load."""
    if room.load > PREFERRED_LOAD:
        return 0
    in_time = max(0.0, compared.tokens_in_time(room.seen, stream.target_s) - room.unread)
    by_memory = 1.0 + (PREFERRED_LOAD - room.load) / max(stream.load, 1e-9)
    return int(min(in_time / stream.prompt, by_memory))
