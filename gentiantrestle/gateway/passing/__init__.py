"""Passing callers' requests on to instances that reach their upstreams."""
