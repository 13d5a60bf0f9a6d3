"""The version in production, taken from the repository's history to run beside this one."""

import functools
import importlib
import re
import subprocess
import sys
import tarfile
from io import BytesIO
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent
PACKAGE = "copperpass"


def commit():
    """The commit that `deploy/service.toml` names."""
    found = re.search(
        r'^production = "([0-9a-f]{40})"', (ROOT / "deploy/service.toml").read_text(), re.MULTILINE
    )
    assert found, "deploy/service.toml names no version in production"
    return found[1]


class Production:
    """Its modules, apart from ours."""

    def __init__(self, source):
        mine = {k: v for k, v in sys.modules.items() if k.split(".")[0] == PACKAGE}
        for name in mine:
            del sys.modules[name]
        sys.path.insert(0, str(source))
        try:
            importlib.invalidate_caches()
            self.core = importlib.import_module(f"{PACKAGE}.core.node")
            self.peer = importlib.import_module(f"{PACKAGE}.peer")
            self.wire = importlib.import_module(f"{PACKAGE}.wire")
            self.settings = importlib.import_module(f"{PACKAGE}.settings")
            assert Path(self.core.__file__).is_relative_to(source)
        finally:
            sys.path.remove(str(source))
            for name in [k for k in sys.modules if k.split(".")[0] == PACKAGE]:
                del sys.modules[name]
            sys.modules.update(mine)

    def node(self, raw, seed, now):
        """A node of that version."""
        return self.core.Node(self.settings.parse(raw), seed, now, day=1000.0)


@functools.cache
def _load():
    name = commit()
    source = ROOT / "target" / "old" / name
    if not (source / "src").is_dir():
        archive = subprocess.run(
            ["git", "archive", name, f"src/{PACKAGE}"], cwd=ROOT, capture_output=True, check=False
        )
        if archive.returncode:
            return None
        with tarfile.open(fileobj=BytesIO(archive.stdout)) as tar:
            tar.extractall(source, filter="data")
    return Production(source / "src")


def load():
    """The version in production, or a skip that says why."""
    made = _load()
    if made is None:
        pytest.skip(
            f"NOT RUN: the history lacks the version in production ({commit()}); "
            "a shallow clone? Without it nothing shows that both serve side by side"
        )
    return made
