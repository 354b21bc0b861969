"""The gateway: a diskless process that forwards requests to targets.

This package is independent of the platform's encoding of headers, records and
calls, which ``peridotrill.platform`` decodes.
"""
