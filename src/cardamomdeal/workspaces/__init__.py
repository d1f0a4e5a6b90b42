"""Workspaces: their keys, proof that keys are valid, and quotas."""
