"""The daemon of cassiashift: the roles entry and agent."""
