"""A whole fleet in one event loop, with stand-ins for the platform.

It serves the demo, the end-to-end tests and the measurements.
"""
