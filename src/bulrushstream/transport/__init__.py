"""Sockets, HTTP servers and HTTP clients."""
