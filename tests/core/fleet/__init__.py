"""Tests of what entries know of the fleet."""
