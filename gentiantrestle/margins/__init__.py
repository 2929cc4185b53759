"""How near the fleet came to the bounds of its promises, from its logs."""
