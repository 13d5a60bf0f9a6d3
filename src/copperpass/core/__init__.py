"""The pure core: inputs in; what to send, write and answer out."""
