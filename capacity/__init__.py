"""Measurements of how costs grow with size, and the capacity page."""
