"""Request routing: route lookup, server selection, limits and retries."""
