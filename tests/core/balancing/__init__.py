"""Tests of expert balancing."""
