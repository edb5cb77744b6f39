"""Measuring the fleet's decisions against simpler ones."""
