"""Side programs of the repository."""
