"""Tests of route tables."""
