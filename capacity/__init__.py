"""Measured slopes of cost against size, and the page worked out of them."""
