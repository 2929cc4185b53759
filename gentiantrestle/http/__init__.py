"""HTTP/1.1 on both sides: callers and peers of the usual protocols."""
