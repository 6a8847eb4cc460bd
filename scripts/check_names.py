"""Check that the platform's names stand only in its adapter, which nothing else imports."""

import pathlib
import re
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
ADAPTER = ROOT / "platform"
# Names that the platform shares with common HTTP usage.
COMMON = frozenset({"last-event-id", "Token "})
ADAPTER_IMPORT = re.compile(r"^\s*(from|import) ebonywheel_platform", re.MULTILINE)
STRING = re.compile(r'^[A-Z_]+ = "([^"]+)"$', re.MULTILINE)


def platform_names(adapter: pathlib.Path = ADAPTER) -> set[str]:
    """Return the names on the platform's wire, as the adapter lists them."""
    text = (adapter / "ebonywheel_platform" / "names.py").read_text()
    return set(STRING.findall(text)) - COMMON


def find_faults(source: pathlib.Path, names: set[str]) -> list[str]:
    """Return where a file below a folder uses a name of the platform, or its adapter."""
    faults = []
    for path in sorted(source.rglob("*.py")):
        text = path.read_text()
        lowered = text.lower()
        faults += [f"{path}: {name}" for name in sorted(names) if name.lower() in lowered]
        if ADAPTER_IMPORT.search(text):
            faults.append(f"{path}: imports the adapter")
    return faults


def main() -> int:
    """Print all faults; return whether there are any."""
    faults = find_faults(ROOT / "src", platform_names())
    for fault in faults:
        print(fault, file=sys.stderr)
    return int(bool(faults))


if __name__ == "__main__":
    sys.exit(main())
