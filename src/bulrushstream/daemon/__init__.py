"""Processes and their tasks: they own the sockets and run the cores."""
