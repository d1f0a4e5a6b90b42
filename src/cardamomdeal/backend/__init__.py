"""Client side of the backend servers: connections and answers."""
