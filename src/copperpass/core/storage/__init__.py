"""Records of bounded size in the key-value store: the machine inventory and completed tasks.

Both are kept in pages that one writer owns and a successor can read at any step: what moves to
another page stays on the first until it is stored on the other.
"""
