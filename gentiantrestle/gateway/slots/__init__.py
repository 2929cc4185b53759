"""Slots of the upstreams, counted by one instance of each zone."""
