"""HTTP proxy fleet for backend servers with gray failures."""
