"""Tests of the storage."""
