"""Tests of cassiashift."""
