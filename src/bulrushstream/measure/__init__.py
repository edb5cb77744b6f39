"""Measurements of the fleet, among them comparisons with baselines."""
