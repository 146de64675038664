"""Messages, links and HTTP surfaces of cassiashift."""
