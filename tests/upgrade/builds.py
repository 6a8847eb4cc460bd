"""Programs of earlier builds, taken from the repository's history."""

import pathlib
import subprocess
import tarfile
import tomllib

import platformsystem

# Landings since the platform milestone, oldest first.
LANDINGS = ("ef30a6e", "1ed5e51", "5ce16d0", "89f1984", "0c850f7", "6959521")
# Names the build of this source tree, to compare with a replacement that changes nothing.
THIS = "this"


def production():
    """Return the commit that runs when a replacement begins."""
    deployment = (platformsystem.ROOT / "deploy" / "system.toml").read_text()
    return tomllib.loads(deployment)["production"]


def program(commit, folder):
    """Return a build's program, extracted into a folder; None if the clone lacks its history."""
    if commit == THIS:
        return platformsystem.PROGRAM
    folder = pathlib.Path(folder)
    folder.mkdir(parents=True, exist_ok=True)
    archive = folder / "build.tar"
    command = ["git", "archive", "-o", str(archive), commit, "src", "platform"]
    if subprocess.run(command, cwd=platformsystem.ROOT, capture_output=True).returncode:
        return None
    with tarfile.open(archive) as content:
        content.extractall(folder, filter="data")
    return folder / "platform" / "run.py"
