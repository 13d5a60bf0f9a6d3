"""The operators' settings: defaults, bounds, and decoding from protobuf text format.

The names are those of `operator.proto`, which operators use in their file.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, fields

from copperpass.errors import SettingsError


@dataclass(frozen=True, slots=True)
class Tuning:
    """The settings that operators may change; `operator.proto` documents each.

    Units: `_boots` in boot times of a machine, `_reports` in heartbeat intervals, `_s` in seconds.
    """

    warm_window_boots: float = 2.5
    cheap_window_boots: float = 4.0
    idle_boots: float = 0.5
    patient_boots: float = 1.2
    silence_reports: float = 2.5
    patience_s: float = 120.0
    keep_scarce_s: float = 300.0
    part_cpus_per_core: float = 2500.0
    preemption: bool = True


# Inclusive minimum and maximum of each numeric setting.
BOUNDS = {
    "warm_window_boots": (0.1, 100.0),
    "cheap_window_boots": (0.1, 100.0),
    "idle_boots": (0.0, 100.0),
    "patient_boots": (0.0, 100.0),
    "silence_reports": (1.5, 20.0),
    "part_cpus_per_core": (0.0, 1e9),
    "patience_s": (1.0, 200.0),
    "keep_scarce_s": (0.0, 100_000.0),
}


def load_tuning(path: str) -> Tuning:
    """Read and validate an operators' file; settings that it does not contain keep their defaults.

    Raises `SettingsError` that names the file, and the setting if its value is out of bounds.
    """
    # Imported here because a controller without such a file does not need protobuf.
    from google.protobuf import text_format

    from copperpass.operator_pb2 import Operator  # type: ignore[attr-defined]

    try:
        with open(path, encoding="utf-8") as file:
            message = text_format.Parse(file.read(), Operator())
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from error
    except (text_format.ParseError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: {error}") from error
    explicit = {
        setting.name: getattr(message, setting.name)
        for setting in fields(Tuning)
        if message.HasField(setting.name)
    }
    for name, (minimum, maximum) in BOUNDS.items():
        value = explicit.get(name)
        if value is not None and not (math.isfinite(value) and minimum <= value <= maximum):
            raise SettingsError(f"{path}: {name}: must be from {minimum} to {maximum}, got {value}")
    return Tuning(**explicit)
