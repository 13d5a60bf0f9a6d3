"""Jobs that are not completed, from the watch cache; completed tasks are never removed."""
