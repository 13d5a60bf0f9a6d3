"""Machine groups, the units in which the cloud provisions machines, and their boot time."""

from __future__ import annotations

from typing import NamedTuple

from copperpass.protocol.cloud import MachineType

# The boot time of a common machine type, used until the cloud's machine types are known.
DEFAULT_BOOT_S = 20.0


class MachineGroup(NamedTuple):
    """Machines of one type in one zone, either all spot or all on-demand."""

    type: str
    zone: str
    spot: bool


def longest_boot(types: dict[str, MachineType]) -> float:
    """Return the longest usual boot time of the types, in seconds; a default without any types."""
    return max((machine_type.boot_s for machine_type in types.values()), default=DEFAULT_BOOT_S)
