"""Tests of the daemon's storage."""
