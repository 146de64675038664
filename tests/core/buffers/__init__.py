"""Tests of the bounds on buffered bytes."""
