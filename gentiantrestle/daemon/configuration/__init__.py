"""The fleet's configuration, and the mirror of the store that holds it."""
