"""Admission under overload: room at servers, waiting and turning away."""
