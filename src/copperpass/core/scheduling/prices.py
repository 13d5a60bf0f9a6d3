"""Prices of machines."""

from __future__ import annotations

from copperpass.protocol.cloud import MachineType


def hourly_price(machine_type: MachineType, spot: bool) -> float:
    """Return the price of a machine per hour; the spot price if `spot` and the type has one."""
    if spot and machine_type.spot_price is not None:
        return machine_type.spot_price
    return machine_type.price
