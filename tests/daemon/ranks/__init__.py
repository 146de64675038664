"""Tests of the agents beside ranks."""
