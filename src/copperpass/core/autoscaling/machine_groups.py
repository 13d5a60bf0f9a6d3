"""Machine groups: what can be provisioned."""

from __future__ import annotations

from typing import NamedTuple

from copperpass.protocol.cloud import MachineType

# Seconds that a common machine boots for; counts before the cloud's offer is known.
DEFAULT_BOOT_S = 20.0


class MachineGroup(NamedTuple):
    """Machines that are provisioned alike: of one type, in one zone, all spot or all on-demand."""

    type: str
    zone: str
    spot: bool


def longest_boot(types: dict[str, MachineType]) -> float:
    """The longest usual boot time in seconds; before the offer is known, that of a common type."""
    return max((machine_type.boot_s for machine_type in types.values()), default=DEFAULT_BOOT_S)
