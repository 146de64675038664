"""Tests of the tables of entries and upstreams."""
