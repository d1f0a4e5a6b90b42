"""Settings files of the processes: schema, loading and data classes."""
