"""Tests of the simulated routing experiment."""
