"""Settings files of the processes."""
