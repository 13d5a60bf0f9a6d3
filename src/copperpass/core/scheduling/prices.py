"""Prices of machines."""

from __future__ import annotations

from copperpass.protocol.cloud import MachineType


def hourly_price(machine_type: MachineType, spot: bool) -> float:
    """The price of a machine for an hour, spot where that is asked for and offered."""
    if spot and machine_type.spot_price is not None:
        return machine_type.spot_price
    return machine_type.price
