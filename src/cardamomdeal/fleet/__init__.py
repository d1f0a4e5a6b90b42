"""State shared by entry hosts: configuration, backend servers and peers."""
