"""A deployment of controllers among fakes of the outside systems, on one clock."""

from tests.simulation.simulation import Simulation
from tests.simulation.users import UserRequest

__all__ = ["Simulation", "UserRequest"]
