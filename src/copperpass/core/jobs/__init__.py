"""Jobs that are not completed, as the watch cache shows them; completed tasks only add up."""
