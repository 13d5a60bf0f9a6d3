"""Loads earlier versions from the git history, to run beside the current one."""

import contextlib
import functools
import importlib
import operator
import re
import subprocess
import sys
import tarfile
import tempfile
from io import BytesIO
from pathlib import Path

import msgspec
import pytest

ROOT = Path(__file__).resolve().parent.parent
PACKAGE = "copperpass"
# The last version that stores the machine inventory as one record; an upgrade from it migrates the
# record to pages.
VERSION_0_2_0 = "fffd8b90a2701387c2f0a7c63039604073094e15"
# Attributes of a node that tests use, and their names in versions up to 0.3.0.
FORMER_NAMES = {
    "worker_heartbeat": "report",
    "schedulers": "owners",
    "user_api": "desk",
    "cluster_manager": "landlord",
    "grant_client": "holder",
    "transactions": "ledger",
    "shard_by_team": "pools",
    "outbox": "out",
    "election": "authority",
    "on_frame": "received",
    "is_upgraded": "proven",
}

# The same for classes of those versions that hold parts of a node.
FORMER_PART_NAMES = {
    "Call": {"on_done": "then", "timeout_s": "timeout"},
    "Authority": {"has_authority": "entitled"},
    "Holder": {"has_authority": "entitled"},
}

# Attributes of a scheduler that tests use, and their names in versions up to 0.5.0.
FORMER_SCHEDULER_NAMES = {
    "quota_usage": "tally",
    "unreconciled": "unsettled",
    "teams_by_name": "by_team",
}


def production_commit():
    """Return the commit of the version in production, as `deploy/service.toml` names it."""
    match = re.search(
        r'^production = "([0-9a-f]{40})"', (ROOT / "deploy/service.toml").read_text(), re.MULTILINE
    )
    assert match, "deploy/service.toml names no version in production"
    return match[1]


def shard_of(scheduler):
    """Return the shard that a scheduler owns; versions up to 0.5.0 call it a pool."""
    return scheduler.shard if hasattr(scheduler, "shard") else scheduler.pool


def scheduler_attribute(scheduler, name):
    """Return an attribute of a scheduler of any version by its current name."""
    return getattr(scheduler, name if hasattr(scheduler, name) else FORMER_SCHEDULER_NAMES[name])


class EarlierVersion:
    """The modules of an earlier version, imported separately from the current ones."""

    def __init__(self, source):
        current_modules = {
            name: module for name, module in sys.modules.items() if name.split(".")[0] == PACKAGE
        }
        for name in current_modules:
            del sys.modules[name]
        sys.path.insert(0, str(source))
        try:
            importlib.invalidate_caches()
            self.core = importlib.import_module(f"{PACKAGE}.core.node")
            self.peer = importlib.import_module(f"{PACKAGE}.peer")
            self.wire = importlib.import_module(f"{PACKAGE}.wire")
            self.settings = importlib.import_module(f"{PACKAGE}.settings")
            assert Path(str(self.core.__file__)).is_relative_to(source)
            self._resolve_structs()
        finally:
            sys.path.remove(str(source))
            for name in [module for module in sys.modules if module.split(".")[0] == PACKAGE]:
                del sys.modules[name]
            sys.modules.update(current_modules)

        self._add_current_names(self.core.Node, FORMER_NAMES)
        for part, names in FORMER_PART_NAMES.items():
            self._add_current_names(getattr(self.core, part), names)

    @staticmethod
    def _add_current_names(former_class, names):
        for name, former in names.items():
            if not hasattr(former_class, name):
                setattr(former_class, name, property(operator.attrgetter(former)))

    def _resolve_structs(self):
        """Have msgspec resolve the annotations while `sys.modules` holds the earlier modules.

        Resolved later, they would refer to the current modules of the same names.
        """
        for value in [*vars(self.wire).values(), *vars(self.settings).values()]:
            if isinstance(value, type) and issubclass(value, msgspec.Struct):
                msgspec.json.Decoder(value)

    def encode_frame(self, frame):
        """Encode a frame of this version, as it sends it to other controllers."""
        return self.peer.pack(frame)

    def frame_decoder(self):
        """Return a decoder that splits a byte stream into frames of this version."""
        return self.peer.Unpacker()

    def create_node(self, raw, seed, now):
        """Create a node of this version from raw settings."""
        return self.core.Node(self.settings.parse(raw), seed, now, day=1000.0)


def _unpack(archive, source):
    """Unpack an archive atomically, since other test processes may look for it meanwhile."""
    source.parent.mkdir(parents=True, exist_ok=True)
    with tempfile.TemporaryDirectory(dir=source.parent) as scratch:
        unpacked = Path(scratch) / "made"
        with tarfile.open(fileobj=BytesIO(archive)) as tar:
            tar.extractall(unpacked, filter="data")
        # The rename fails if another process was first; its copy is the same.
        with contextlib.suppress(OSError):
            unpacked.rename(source)


@functools.cache
def _load(commit):
    source = ROOT / "target" / "old" / commit
    if not (source / "src").is_dir():
        archive = subprocess.run(
            ["git", "archive", commit, f"src/{PACKAGE}"], cwd=ROOT, capture_output=True, check=False
        )
        if archive.returncode:
            return None
        _unpack(archive.stdout, source)
    return EarlierVersion(source / "src")


def load(commit=None):
    """Return the version of a commit, by default the one in production.

    Skips the test if the history doesn't contain that commit.
    """
    commit = commit or production_commit()
    version = _load(commit)
    if version is None:
        pytest.skip(
            f"NOT RUN: the history lacks an earlier version ({commit}); a shallow clone? "
            "Without it nothing shows that both serve side by side"
        )
    return version
