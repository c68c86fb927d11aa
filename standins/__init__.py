"""Stand-ins for engines, services, the metadata store and the host list."""
