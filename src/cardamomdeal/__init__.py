"""HTTP proxy fleet that tolerates gray failures of backend servers."""
