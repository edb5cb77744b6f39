"""The bodies of the command line's commands."""
