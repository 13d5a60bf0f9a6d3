"""The leader's control loop: which machines are provisioned, assigned and released."""
