"""Tests of peridotrill."""
