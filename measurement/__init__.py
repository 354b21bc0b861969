"""Measurement of whole deployments against a naive and an ideal plan."""
