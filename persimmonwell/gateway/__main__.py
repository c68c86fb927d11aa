"""Run a forwarding host with `python -m persimmonwell.gateway`."""

import sys

from persimmonwell.gateway import main

sys.exit(main())
