"""One budget of bytes for what an instance holds for callers and items."""
