"""Data and tables that the decisions read and change; no input or output."""
