"""Machine groups: what can be provisioned."""

from __future__ import annotations

from typing import NamedTuple

from copperpass.protocol.cloud import MachineType


class MachineGroup(NamedTuple):
    """What can be rented: a type of machine in a zone, of the cheap kind or the ordinary one."""

    type: str
    zone: str
    spot: bool


def longest_boot(types: dict[str, MachineType]) -> float:
    """The longest usual boot time; before the offer is known, that of a common machine."""
    return max((t.boot_s for t in types.values()), default=20.0)
