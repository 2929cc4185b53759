"""Transparent gateway: routes callers to discovered upstreams, runs batch."""
