"""Test doubles for the platform, model engines and plain services."""
