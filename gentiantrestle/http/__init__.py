"""HTTP/1.1 servers and clients over h11."""
