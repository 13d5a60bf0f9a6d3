"""Prices of machines."""

from __future__ import annotations

from copperpass.protocol.cloud import MachineType


def hourly_price(machine_type: MachineType, spot: bool) -> float:
    """What a machine costs an hour."""
    if spot and machine_type.spot_price is not None:
        return machine_type.spot_price
    return machine_type.price
