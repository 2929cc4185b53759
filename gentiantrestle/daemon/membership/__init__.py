"""Liveness of instances, by heartbeats, and calls between them."""
