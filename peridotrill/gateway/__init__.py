"""The gateway: one process between callers and targets, without a disk.

Nothing in this package knows how a particular platform spells its headers,
records and calls; ``peridotrill.platform`` decodes those.
"""
