"""Tests of the concurrency limits of services."""
