"""Administration API and command line."""
