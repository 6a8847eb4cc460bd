"""Generate the Cap'n Proto schema from the message classes.

Run it after appending to ``messages.py`` and commit ``wire.capnp``. With ``--check`` it writes
nothing and fails if the file is out of date.
"""

import argparse
import importlib.util
import pathlib
import sys
import typing

import msgspec

ROOT = pathlib.Path(__file__).resolve().parent.parent
PACKAGE = ROOT / "src" / "ebonywheel"
FILE_ID = "@0xd3c5a1e09b7f4e21"
SCALAR_TYPES = {int: "UInt64", str: "Text", bytes: "Data", bool: "Bool", float: "Float64"}


def load_messages():
    """Import messages.py on its own, without the package and its codec."""
    spec = importlib.util.spec_from_file_location("messages", PACKAGE / "messages.py")
    module = importlib.util.module_from_spec(spec)
    sys.modules["messages"] = module
    spec.loader.exec_module(module)
    return module


def capnp_type(annotation: typing.Any) -> str:
    """Return the Cap'n Proto type of a Python annotation."""
    if typing.get_origin(annotation) is list:
        return f"List({capnp_type(typing.get_args(annotation)[0])})"
    return SCALAR_TYPES.get(annotation) or annotation.__name__


def camel_case(name: str) -> str:
    """Return a field name in camel case, as Cap'n Proto requires."""
    first, *rest = name.split("_")
    return first + "".join(word.capitalize() for word in rest)


def render_struct(cls: type[msgspec.Struct]) -> str:
    """Return the schema text of one message class."""
    annotations = typing.get_type_hints(cls)
    lines = [
        f"  {camel_case(name)} @{number} :{capnp_type(annotations[name])};"
        for number, name in enumerate(cls.__struct_fields__)
    ]
    return "\n".join([f"struct {cls.__name__} {{", *lines, "}"])


def render_schema() -> str:
    """Return the text of the whole schema."""
    module = load_messages()
    classes = [
        member
        for member in vars(module).values()
        if isinstance(member, type) and issubclass(member, msgspec.Struct)
    ]
    header = f"{FILE_ID};\n# Generated from messages.py by scripts/generate_wire.py."
    return "\n\n".join([header, *(render_struct(cls) for cls in classes)]) + "\n"


def main() -> int:
    """Write or check the schema file."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--check", action="store_true", help="compare with the file, write nothing")
    arguments = parser.parse_args()
    schema_path = PACKAGE / "wire.capnp"
    text = render_schema()
    if not arguments.check:
        schema_path.write_text(text)
        return 0
    if schema_path.read_text() != text:
        print("wire.capnp is out of date: run scripts/generate_wire.py", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
