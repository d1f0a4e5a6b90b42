"""Directory process: serves gateway addresses to callers."""
