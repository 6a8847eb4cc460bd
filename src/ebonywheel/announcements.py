"""What backend servers announce of themselves, checked against the document in force."""

from ebonywheel import configuration, exceptions, messages

PREFIXES_KEPT = 64
SERVER_STATES = ("starting", "ready", "leaving")


def check(current: configuration.Configuration, state: messages.ServerState) -> None:
    """Check that an announcement agrees with the document in force.

    Raises:
        NotRunError: There is no document.
        HttpError: The announcement names something that the document has not.
    """
    if current.document is None:
        raise exceptions.NotRunError("no document is in force", "announce", state.server)
    for field, value, known in (
        ("environment", state.environment, [current.document.environment]),
        ("data_centre", state.data_centre, current.document.regions),
        ("engine", state.engine, current.document.engines),
        ("state", state.state, SERVER_STATES),
    ):
        if value not in known:
            names = ", ".join(sorted(known))
            raise exceptions.HttpError(
                f"Expected one of: {names}, got {value!r} - at `state.{field}`",
                "announce",
                state.server,
                422,
            )


def note_cache_events(prefixes: list[str], events: list[messages.CacheEvent]) -> None:
    """Bring the prefixes of a server's cache up to date, the newest last."""
    for event in events:
        if event.prefix in prefixes:
            prefixes.remove(event.prefix)
        if event.present:
            prefixes.append(event.prefix)
    del prefixes[:-PREFIXES_KEPT]
