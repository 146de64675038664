"""The demonstration: the main job under a kill and a drain."""
