"""Benchmarks that run a fleet and its stand-ins on loopback addresses."""
