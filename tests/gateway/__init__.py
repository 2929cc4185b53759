"""Tests of the gateway: its decisions, store, connections and processes."""
