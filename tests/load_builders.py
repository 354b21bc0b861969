"""Builders of attempts as the callers of a load write them."""


def build_events(first, last, version='v1'):
    return [[number, version] for number in range(first, last + 1)]


def build_attempt(name='quick-1', **changes):
    """Return a whole stream of five events, with some fields changed."""
    return {
        'name': name,
        'began': name,
        'gateway': 'front-0',
        'sent_s': 10.0,
        'ended_s': 11.0,
        'status': 200,
        'is_complete': True,
        'after': 0,
        'events': build_events(1, 5),
        'error': '',
        **changes,
    }


def build_take_up(events, **changes):
    """Return an attempt that takes ``quick-1`` up after its second event."""
    return build_attempt(
        'quick-1-1',
        **{'began': 'quick-1', 'after': 2, 'events': events, **changes},
    )
