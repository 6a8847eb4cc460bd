"""Check that the code in src neither uses names of the platform's wire nor imports its adapter."""

import pathlib
import re
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
ADAPTER = ROOT / "platform"
# Platform names that are also in common HTTP use, and so are allowed everywhere.
COMMON_NAMES = frozenset({"last-event-id", "Token "})
ADAPTER_IMPORT = re.compile(r"^\s*(from|import) ebonywheel_platform", re.MULTILINE)
NAME_CONSTANT = re.compile(r'^[A-Z_]+ = "([^"]+)"$', re.MULTILINE)


def platform_names(adapter: pathlib.Path = ADAPTER) -> set[str]:
    """Return the names on the platform's wire that only the adapter may use."""
    text = (adapter / "ebonywheel_platform" / "names.py").read_text()
    return set(NAME_CONSTANT.findall(text)) - COMMON_NAMES


def find_faults(source: pathlib.Path, names: set[str]) -> list[str]:
    """Return a line for each platform name or import of the adapter in a file below a folder."""
    faults = []
    for path in sorted(source.rglob("*.py")):
        text = path.read_text()
        lowercase_text = text.lower()
        faults += [f"{path}: {name}" for name in sorted(names) if name.lower() in lowercase_text]
        if ADAPTER_IMPORT.search(text):
            faults.append(f"{path}: imports the adapter")
    return faults


def main() -> int:
    """Print all faults and return the exit code."""
    faults = find_faults(ROOT / "src", platform_names())
    for fault in faults:
        print(fault, file=sys.stderr)
    return int(bool(faults))


if __name__ == "__main__":
    sys.exit(main())
