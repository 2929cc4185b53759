"""Keeps prompts that crash upstreams away from them."""
