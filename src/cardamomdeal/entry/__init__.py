"""Program of an entry host: forwards requests and knows the fleet."""
