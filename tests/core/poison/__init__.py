"""Tests of the parts of prompts that crash upstreams."""
