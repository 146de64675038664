"""Tests of draining."""
