"""Adoption of configuration versions and their stored records."""
