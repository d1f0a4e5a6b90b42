"""Client of the platform: key-value store, host list and HTTP headers."""
