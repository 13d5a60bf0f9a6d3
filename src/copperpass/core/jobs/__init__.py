"""Jobs that are not completed, as the key-value store holds them."""
