"""Tests of the expected cost of requests."""
