"""Tests of expert maps of groups whose engines switch on orders."""
