"""The start of the platform's programs, before they have loaded."""

import pathlib
import shutil
import subprocess
import sys

RUN = pathlib.Path(__file__).resolve().parent.parent / "platform" / "run.py"
# Stands in for the programs and is loaded where they would be.
PROGRAMS = """
import signal
def main(arguments):
    return 0 if LOADED_WITH == signal.SIG_IGN else 1
LOADED_WITH = signal.getsignal(signal.SIGHUP)
"""


def test_a_reload_while_the_programs_load_does_not_end_the_process(tmp_path):
    """A soak ended all control hosts by SIGHUP right after their start."""
    package = tmp_path / "platform" / "ebonywheel_platform"
    package.mkdir(parents=True)
    (package / "__init__.py").touch()
    (package / "programs.py").write_text(PROGRAMS)
    shutil.copy(RUN, tmp_path / "platform")
    command = [sys.executable, str(tmp_path / "platform" / "run.py"), "entry"]
    assert subprocess.run(command, timeout=30).returncode == 0
