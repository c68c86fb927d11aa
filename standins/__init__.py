"""Provide small stand-ins for engines, services, the log and the host list."""
