"""Recorded histories of a fleet, and the checks that they must pass."""
