"""Log lines for changes of state, as ``key=value`` pairs on standard error."""

import logging
import sys

import logbook

FORMAT = (
    "{record.time:%Y-%m-%dT%H:%M:%S.%f} level={record.level_name} "
    "part={record.channel} {record.message}"
)


class StateLog:
    """A logger whose lines name an event and its fields."""

    def __init__(self, name: str):
        self.logger = logbook.Logger(name)

    def info(self, event: str, **fields: object) -> None:
        """Log a change of state."""
        self.logger.info(_line(event, fields))

    def warning(self, event: str, **fields: object) -> None:
        """Log a change of state that an operator should see."""
        self.logger.warning(_line(event, fields))

    def error(self, event: str, **fields: object) -> None:
        """Log a fault that ends something."""
        self.logger.error(_line(event, fields))


def handler(level: str) -> logbook.Handler:
    """Return the process's log handler.

    Args:
        level: A logbook level name, such as ``INFO``.
    """
    # The event loop prints the traceback of each failed task; whoever joins it reports it instead.
    logging.getLogger("curio").setLevel(logging.CRITICAL)
    return logbook.StreamHandler(sys.stderr, level=level, format_string=FORMAT)


def _line(event: str, fields: dict[str, object]) -> str:
    pairs = [f"event={event}"]
    pairs.extend(f"{key}={_quoted(value)}" for key, value in fields.items())
    # Braces would be read as format fields by the logging library.
    return " ".join(pairs).replace("{", "(").replace("}", ")")


def _quoted(value: object) -> str:
    text = str(value)
    if text and not any(char.isspace() or char in '"=' for char in text):
        return text
    return '"' + text.replace('"', "'").replace("\n", " ") + '"'
