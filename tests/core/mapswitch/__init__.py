"""Tests of the map switch."""
