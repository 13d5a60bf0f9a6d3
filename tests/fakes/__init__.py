"""Fakes of the external systems, written from the protocol specification."""
