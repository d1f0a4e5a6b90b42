"""Which hosts of the fleet are live, from gossip and the host list."""
