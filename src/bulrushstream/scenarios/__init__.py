"""The scenarios that ship with the package, in JSON with comments."""
