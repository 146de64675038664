"""Tests of event streams."""
