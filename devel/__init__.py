"""Stand-ins and tools for trying and testing the fleet on loopback."""
