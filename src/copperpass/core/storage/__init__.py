"""Records of bounded size in the key-value store: the machine inventory and completed tasks.

Both are stored in pages with a single writer. A new writer can take over after any write of the
previous one: an entry that migrates to another page stays on its old page until the new page is
stored.
"""
