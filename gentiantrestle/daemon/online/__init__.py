"""Requests that a caller waits for."""
