"""A complete fleet in one event loop, with stand-ins for the platform.

It is used by the demo, the end-to-end tests and the measurements.
"""
