"""Decisions as plain functions over state; no input or output."""
