"""Tests of placing."""
