"""Private helpers shared by every package."""
