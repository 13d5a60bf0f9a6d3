"""The operators' settings: defaults, bounds, and reading them from protobuf text format.

The names are those of `operator.proto`, which operators write.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, fields

from copperpass.errors import SettingsError


@dataclass(frozen=True, slots=True)
class Tuning:
    """What operators may set; `operator.proto` says what each setting means.

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


# The least and the greatest value allowed of each number.
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
    """Read and check an operators' file; raises `SettingsError` naming the file and the setting.

    What the file leaves out has its default.
    """
    # Imported only here: a controller without such a file does without protobuf.
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
