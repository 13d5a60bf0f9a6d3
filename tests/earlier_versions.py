"""Earlier versions, taken from the repository's history to run beside this one."""

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
# The last version that keeps the whole fleet in one record: upgrades from it move the record.
VERSION_0_2_0 = "fffd8b90a2701387c2f0a7c63039604073094e15"
# What the tests look at in a node, and what versions up to 0.3.0 call it.
FORMER_NAMES = {
    "worker_heartbeat": "report",
    "schedulers": "owners",
    "user_api": "desk",
    "cluster_manager": "landlord",
    "grant_client": "holder",
    "transactions": "ledger",
    "shards": "pools",
    "election": "authority",
    "on_frame": "received",
    "is_upgraded": "proven",
}

# The same for the classes of a node's parts.
FORMER_PART_NAMES = {
    "Call": {"on_done": "then", "timeout_s": "timeout"},
    "Authority": {"has_authority": "entitled"},
    "Holder": {"has_authority": "entitled"},
}

# The same in a scheduler, for versions up to 0.5.0.
FORMER_SCHEDULER_NAMES = {
    "quota_usage": "tally",
    "unreconciled": "unsettled",
    "teams_by_name": "by_team",
}


def production_commit():
    """The commit that `deploy/service.toml` names."""
    found = re.search(
        r'^production = "([0-9a-f]{40})"', (ROOT / "deploy/service.toml").read_text(), re.MULTILINE
    )
    assert found, "deploy/service.toml names no version in production"
    return found[1]


def shard_of(scheduler):
    """The shard that a scheduler owns; versions up to 0.5.0 call it a pool."""
    return scheduler.shard if hasattr(scheduler, "shard") else scheduler.pool


def scheduler_attribute(scheduler, name):
    """An attribute of a scheduler of any version, by today's name."""
    return getattr(scheduler, name if hasattr(scheduler, name) else FORMER_SCHEDULER_NAMES[name])


class EarlierVersion:
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
            assert Path(str(self.core.__file__)).is_relative_to(source)
            self._resolve_structs()
        finally:
            sys.path.remove(str(source))
            for name in [k for k in sys.modules if k.split(".")[0] == PACKAGE]:
                del sys.modules[name]
            sys.modules.update(mine)

        self._add_current_names(self.core.Node, FORMER_NAMES)
        for part, names in FORMER_PART_NAMES.items():
            self._add_current_names(getattr(self.core, part), names)

    @staticmethod
    def _add_current_names(former_class, names):
        for name, former in names.items():
            if not hasattr(former_class, name):
                setattr(former_class, name, property(operator.attrgetter(former)))

    def _resolve_structs(self):
        """Have msgspec look its annotations up now, while its modules are the ones by that name."""
        for value in [*vars(self.wire).values(), *vars(self.settings).values()]:
            if isinstance(value, type) and issubclass(value, msgspec.Struct):
                msgspec.json.Decoder(value)

    def encode_frame(self, frame):
        """The bytes that it sends for a frame of its own."""
        return self.peer.pack(frame)

    def frame_decoder(self):
        """What cuts a stream of bytes into its frames."""
        return self.peer.Unpacker()

    def create_node(self, raw, seed, now):
        """A node of that version."""
        return self.core.Node(self.settings.parse(raw), seed, now, day=1000.0)


def _unpack(archive, source):
    """Unpack an archive in one step, for other test processes may look for it meanwhile."""
    source.parent.mkdir(parents=True, exist_ok=True)
    with tempfile.TemporaryDirectory(dir=source.parent) as scratch:
        made = Path(scratch) / "made"
        with tarfile.open(fileobj=BytesIO(archive)) as tar:
            tar.extractall(made, filter="data")
        # Another process may have been first: its copy is the same.
        with contextlib.suppress(OSError):
            made.rename(source)


@functools.cache
def _load(name):
    source = ROOT / "target" / "old" / name
    if not (source / "src").is_dir():
        archive = subprocess.run(
            ["git", "archive", name, f"src/{PACKAGE}"], cwd=ROOT, capture_output=True, check=False
        )
        if archive.returncode:
            return None
        _unpack(archive.stdout, source)
    return EarlierVersion(source / "src")


def load(name=None):
    """The version in production or the named commit, or a skip that says why."""
    name = name or production_commit()
    made = _load(name)
    if made is None:
        pytest.skip(
            f"NOT RUN: the history lacks an earlier version ({name}); a shallow clone? "
            "Without it nothing shows that both serve side by side"
        )
    return made
