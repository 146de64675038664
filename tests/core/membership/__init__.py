"""Tests of membership on a simulated network."""
