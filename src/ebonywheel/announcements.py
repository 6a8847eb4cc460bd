"""Checks announcements of backend servers against the document in force, and applies them."""

from ebonywheel import configuration, exceptions, messages

# Most cached prefixes remembered of a server.
MAX_PREFIXES = 64
SERVER_STATES = ("starting", "ready", "leaving")


def check(current: configuration.Configuration, state: messages.ServerState) -> None:
    """Check that an announcement agrees with the document in force.

    Raises:
        NotRunError: There is no document.
        HttpError: The announcement names something that the document does not define, or a state
            that does not exist.
    """
    if current.document is None:
        raise exceptions.NotRunError("no document is in force", "announce", state.server)
    for field, value, allowed in (
        ("environment", state.environment, [current.document.environment]),
        ("data_centre", state.data_centre, current.document.regions),
        ("engine", state.engine, current.document.engines),
        ("state", state.state, SERVER_STATES),
    ):
        if value not in allowed:
            names = ", ".join(sorted(allowed))
            raise exceptions.HttpError(
                f"Expected one of: {names}, got {value!r} - at `state.{field}`",
                "announce",
                state.server,
                422,
            )


def apply_cache_events(prefixes: list[str], events: list[messages.CacheEvent]) -> None:
    """Update the list of prefixes in a server's cache, the newest last, from its events."""
    for event in events:
        if event.prefix in prefixes:
            prefixes.remove(event.prefix)
        if event.present:
            prefixes.append(event.prefix)
    del prefixes[:-MAX_PREFIXES]
