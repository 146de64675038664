"""Experiments on the core with small stand-ins of engines."""
