"""Implementations of the command-line commands."""
