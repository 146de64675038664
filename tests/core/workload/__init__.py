"""Tests of the outstanding work of upstreams over all entries."""
