"""A demonstration: mixed load while an entry dies and a drain runs."""
