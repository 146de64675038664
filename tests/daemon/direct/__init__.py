"""Tests of direct entries."""
