"""Jobs of many items, each done exactly once."""
