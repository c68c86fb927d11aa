"""Stand-ins of the scripts of the second review; standard library only."""
