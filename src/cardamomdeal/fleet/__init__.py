"""What an entry host knows: configuration, backend servers, peers."""
