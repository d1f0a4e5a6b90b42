"""Environment documents: schema, validation and model."""
