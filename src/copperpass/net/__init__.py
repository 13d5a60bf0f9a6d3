"""The reactor side: sockets, clocks and the HTTP of the outside systems."""
