"""Fleet membership learned from gossip, and assignment of roles."""
