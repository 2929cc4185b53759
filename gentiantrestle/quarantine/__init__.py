"""Keeps requests that crash upstreams away from them."""
