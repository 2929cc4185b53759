"""The gateway: decisions, its store, its connections, its processes."""
