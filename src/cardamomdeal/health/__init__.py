"""Outlier detection and ejection of backend servers.

The agents that decide on ejections for a service are its judges. A judge
needs a permit from the store for each server that it ejects.
"""
