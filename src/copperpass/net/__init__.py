"""The I/O around the core: sockets, clocks, and HTTP to and from external systems."""
