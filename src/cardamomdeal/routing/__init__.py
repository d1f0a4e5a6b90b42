"""Routing decisions: routes, selection, limits and retries."""
