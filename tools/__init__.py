"""Scripts of the project."""
