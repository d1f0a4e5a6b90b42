"""Entry host: forwards requests and maintains a view of the fleet."""
