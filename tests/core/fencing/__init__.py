"""Tests of fencing."""
