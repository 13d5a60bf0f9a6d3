"""Records of bounded size in the key-value store: machine inventory, completed tasks."""
