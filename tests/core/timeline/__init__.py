"""Tests of the time line."""
