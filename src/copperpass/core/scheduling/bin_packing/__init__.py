"""Bin packing: on which machine tasks are feasible, and the choice among feasible placements."""
