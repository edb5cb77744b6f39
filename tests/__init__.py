"""Tests of the fleet."""
