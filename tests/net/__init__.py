"""Tests of links, keys and TLS."""
