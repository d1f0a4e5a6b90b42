"""Which configuration is in force and which versions are adopted."""
