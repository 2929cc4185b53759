"""The command-line tool, built on the library alone."""
