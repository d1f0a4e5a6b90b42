"""Decisions on where requests go, in which order and how often."""
