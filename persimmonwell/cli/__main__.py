"""Entry point of python -m persimmonwell.cli."""

import sys

from persimmonwell.cli import main

sys.exit(main())
