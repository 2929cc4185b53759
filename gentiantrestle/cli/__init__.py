"""The command-line tool; it calls instances only through the library."""
