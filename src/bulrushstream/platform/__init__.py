"""The adapter to the users' platform: its node file, store and headers.

All translation between the platform's formats and the project's types is
in this package.  The platform's names are used nowhere else.
"""
