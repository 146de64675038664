"""Tests of the core, one folder or module per subject."""
