"""Agent process: follows configuration and judges backend servers."""
