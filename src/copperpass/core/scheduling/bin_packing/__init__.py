"""Bin packing: on which machines tasks are feasible, and which of these placements is chosen."""
