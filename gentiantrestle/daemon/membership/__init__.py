"""Which instances are alive, told by heartbeats between them."""
