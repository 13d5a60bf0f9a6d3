"""A deployment of controllers among fakes of the outside systems, on one clock."""

from tests.simulation.simulation import Simulation
from tests.simulation.users import User

__all__ = ["Simulation", "User"]
