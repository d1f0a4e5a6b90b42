"""Internal utilities shared by all packages."""
