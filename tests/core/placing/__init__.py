"""Tests of the placement of requests."""
