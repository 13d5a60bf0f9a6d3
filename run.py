#!/usr/bin/env python3
"""Entry point of the service; adds the libraries that `build` installed under target/deps."""

import os
import sys

ROOT = os.path.dirname(os.path.abspath(__file__))
sys.pycache_prefix = os.path.join(ROOT, "target", "pycache")
sys.path[:0] = [os.path.join(ROOT, "src"), os.path.join(ROOT, "target", "deps")]

from copperpass.cli import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main())
