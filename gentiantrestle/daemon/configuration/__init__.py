"""The fleet's configuration and the copy of the store it comes in."""
