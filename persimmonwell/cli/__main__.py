"""Run the tool with python -m persimmonwell.cli."""

import sys

from persimmonwell.cli import main

sys.exit(main())
