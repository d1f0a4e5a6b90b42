"""Threads that own the sockets of the inner protocol."""
