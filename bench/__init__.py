"""Measurements on loopback stand-ins."""
