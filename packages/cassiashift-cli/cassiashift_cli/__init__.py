"""The command line of cassiashift."""
