"""The adapter to the users' platform: its settings, store and headers.

Everything that only translates between the platform and the product is
here; nothing outside this package knows the platform's names.
"""
