"""Which members there are, which version they run, and which of them answer."""
