"""Discrete-event simulation of a deployment: real controllers, fake external systems."""

from tests.simulation.simulation import Simulation
from tests.simulation.users import UserRequest

__all__ = ["Simulation", "UserRequest"]
