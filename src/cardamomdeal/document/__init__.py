"""Environment documents: schema, checks and model."""
