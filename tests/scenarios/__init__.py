"""Scenarios of the core on a simulated network with a virtual clock."""
