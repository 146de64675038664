"""Messages between processes, links over ZeroMQ, keys and HTTP errors."""
