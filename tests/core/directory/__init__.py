"""Tests of the directory."""
