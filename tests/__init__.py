"""Tests of Peridotrill."""
