"""What the command-line tool prints."""
