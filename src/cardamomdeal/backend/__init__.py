"""HTTP client for backend servers: connections and responses."""
