"""Data structures that the cores read and change, without input or output."""
