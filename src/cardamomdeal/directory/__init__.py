"""Directory process: tells callers which gateways to use."""
