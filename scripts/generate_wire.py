"""Generate the Cap'n Proto schema from the message classes.

Run after appending to ``messages.py`` and commit the result; ``--check`` only compares.
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
SCALARS = {int: "UInt64", str: "Text", bytes: "Data", bool: "Bool", float: "Float64"}


def load_messages():
    """Import the message classes without the package's codec."""
    spec = importlib.util.spec_from_file_location("messages", PACKAGE / "messages.py")
    module = importlib.util.module_from_spec(spec)
    sys.modules["messages"] = module
    spec.loader.exec_module(module)
    return module


def type_name(hint: typing.Any) -> str:
    """Return the Cap'n Proto type of a Python annotation."""
    if typing.get_origin(hint) is list:
        return f"List({type_name(typing.get_args(hint)[0])})"
    return SCALARS.get(hint) or hint.__name__


def camel(name: str) -> str:
    """Return a field name in Cap'n Proto's case."""
    head, *rest = name.split("_")
    return head + "".join(part.capitalize() for part in rest)


def render_struct(cls: type[msgspec.Struct]) -> str:
    """Return the schema text of one message class."""
    hints = typing.get_type_hints(cls)
    lines = [
        f"  {camel(name)} @{number} :{type_name(hints[name])};"
        for number, name in enumerate(cls.__struct_fields__)
    ]
    return "\n".join([f"struct {cls.__name__} {{", *lines, "}"])


def render() -> str:
    """Return the whole schema."""
    module = load_messages()
    classes = [
        value
        for value in vars(module).values()
        if isinstance(value, type) and issubclass(value, msgspec.Struct)
    ]
    head = f"{FILE_ID};\n# Generated from messages.py by scripts/generate_wire.py."
    return "\n\n".join([head, *(render_struct(cls) for cls in classes)]) + "\n"


def main() -> int:
    """Write or check the schema file."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--check", action="store_true", help="only compare with the file")
    args = parser.parse_args()
    target = PACKAGE / "wire.capnp"
    text = render()
    if not args.check:
        target.write_text(text)
        return 0
    if target.read_text() != text:
        print("wire.capnp is out of date: run scripts/generate_wire.py", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
