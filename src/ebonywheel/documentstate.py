"""Command handlers for environment documents, promotions and data centres."""

import re

import msgspec
import result

from ebonywheel import commands, configuration, documents, registry, statedata

# Prefix of the configuration keys that all environments share.
RESERVED_ENVIRONMENTS = frozenset({"control"})

_ENVIRONMENT_NAME = re.compile(r"[a-z0-9][a-z0-9_.-]{0,62}\Z")
_ENVIRONMENT_LINE = re.compile(
    r"^[ \t]*environment[ \t]*=[ \t]*(\"[^\"\n]*\"|'[^'\n]*')", re.MULTILINE
)


class DocumentHandler:
    """Base class of the handlers that change an environment."""

    def target(self, command: commands.AnyCommand) -> str:
        """Return the environment."""
        return command.environment


@registry.plugins.register("command", "ApplyDocument")
class ApplyDocumentHandler(DocumentHandler):
    """Puts a document in force."""

    def apply(
        self, data: statedata.StateData, index: int, command: commands.ApplyDocument
    ) -> commands.Outcome:
        """Check the base revision and the document, then replace the environment's items."""
        problem = _check_environment_name(command.environment) or _check_base(
            data, command.environment, command.base
        )
        if problem is not None:
            return problem
        return _replace_document(data, index, command, command.environment, command.text)


@registry.plugins.register("command", "PromoteDocument")
class PromoteDocumentHandler(DocumentHandler):
    """Puts one environment's document in force in another."""

    def apply(
        self, data: statedata.StateData, index: int, command: commands.PromoteDocument
    ) -> commands.Outcome:
        """Check both revisions, then copy the whole document."""
        source = data.environments.get(command.source)
        if source is None or not source.text:
            return commands.Refused(
                code="no_document", text=f"environment {command.source!r} has no document"
            )
        if source.revision != command.source_revision:
            return commands.Conflict(
                revision=source.revision, winner=source.changed_by, operation=source.operation
            )
        problem = _check_environment_name(command.target) or _check_base(
            data, command.target, command.base
        )
        if problem is not None:
            return problem
        text = _rename_environment(source.text, command.target)
        return _replace_document(data, index, command, command.target, text)

    def target(self, command: commands.PromoteDocument) -> str:
        """Return both environments."""
        return f"{command.source}->{command.target}"


@registry.plugins.register("command", "SetDataCentre")
class SetDataCentreHandler(DocumentHandler):
    """Takes a data centre out of service or brings it back."""

    def apply(
        self, data: statedata.StateData, index: int, command: commands.SetDataCentre
    ) -> commands.Outcome:
        """Check the base revision and the name, then mark the data centre as out or in."""
        environment = command.environment
        conflict = _check_base(data, environment, command.base)
        if conflict is not None:
            return conflict
        region_key = f"{environment}/document/regions/{command.data_centre}"
        if data.get_value(region_key) is None:
            return commands.Refused(
                code="unknown_data_centre",
                text=f"{command.data_centre!r} is not in the document of {environment!r}",
            )
        key = configuration.out_key(environment, command.data_centre)
        if command.out:
            data.put(key, index, b"true")
        else:
            data.remove(key, index)
        return _advance_revision(data, index, command, environment)

    def target(self, command: commands.SetDataCentre) -> str:
        """Return environment and data centre."""
        direction = "out" if command.out else "in"
        return f"{command.environment}/{command.data_centre} {direction}"


def _check_environment_name(environment: str) -> commands.Refused | None:
    if _ENVIRONMENT_NAME.match(environment) and environment not in RESERVED_ENVIRONMENTS:
        return None
    return commands.Refused(code="environment", text=f"{environment!r} cannot be an environment")


def _rename_environment(text: str, environment: str) -> str:
    """Return a document's text with another environment's name."""
    return _ENVIRONMENT_LINE.sub(f'environment = "{environment}"', text, count=1)


def _check_base(data: statedata.StateData, environment: str, base: int) -> commands.Conflict | None:
    current = data.environments.get(environment)
    revision = 0 if current is None else current.revision
    if revision == base:
        return None
    return commands.Conflict(
        revision=revision,
        winner="" if current is None else current.changed_by,
        operation="" if current is None else current.operation,
    )


def _replace_document(
    data: statedata.StateData, index: int, command: commands.Command, environment: str, text: str
) -> commands.Outcome:
    # A promoted document names its source environment, so put the target's name in.
    promoted = isinstance(command, commands.PromoteDocument)
    if promoted:
        text = documents.rename_environment(text, environment)
    match documents.parse(text, environment):
        case result.Err(error):
            return commands.Refused(code=error.code, text=error.text)
        case result.Ok(document):
            pass
    if promoted:
        document = msgspec.structs.replace(document, environment=environment)
    if document.environment != environment:
        return commands.Refused(
            code="document",
            text=f"Expected environment {environment!r}, got {document.environment!r}",
        )
    _replace_items(data, index, environment, document)
    data.environments.setdefault(environment, statedata.EnvironmentState()).text = text
    return _advance_revision(data, index, command, environment)


def _replace_items(
    data: statedata.StateData, index: int, environment: str, document: documents.Document
) -> None:
    new_items = configuration.split_document(environment, document)
    prefix = f"{environment}/document/"
    for key in [key for key in data.items if key.startswith(prefix)]:
        if key not in new_items:
            data.remove(key, index)
    for key, value in new_items.items():
        data.put(key, index, value)


def _advance_revision(
    data: statedata.StateData, index: int, command: commands.Command, environment: str
) -> commands.Accepted:
    current = data.environments.setdefault(environment, statedata.EnvironmentState())
    previous = current.revision
    current.revision += 1
    current.changed_by = command.actor
    current.operation = command.operation
    data.put(configuration.revision_key(environment), index, str(current.revision).encode())
    return commands.Accepted(revision=current.revision, previous=previous, index=index)
