"""Inner protocol: messages between the fleet's processes and their codec."""
