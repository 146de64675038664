"""Tests of stalled streams."""
