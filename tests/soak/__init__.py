"""Randomized soak: real processes, injected faults, checks afterwards."""
