"""Simulated histories of a fleet, and the checks of them."""
