"""Upstreams: health, load, routing and the engines' protocol."""
