"""Gateway process: forwards callers' requests to backend servers."""
