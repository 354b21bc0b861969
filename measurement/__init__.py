"""Compares whole deployments with a naive and an ideal baseline."""
