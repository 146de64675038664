"""Tests of the distribution of revisions on a simulated network."""
