"""The servers behind the system: their state, load and protocol."""
