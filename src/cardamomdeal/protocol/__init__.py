"""Messages between the processes of the fleet and their codec."""
