"""Formats a merged timeline as text or as a self-contained HTML page."""

from collections.abc import Iterable
from html import escape
from typing import Any, Final

from peridotrill.codec import encode_json
from peridotrill.timeline import Event

_STYLE: Final = (
    'body{font:13px sans-serif}table{border-collapse:collapse}'
    'th,td{border:1px solid #ccc;padding:2px 6px;text-align:left;'
    'vertical-align:top}th{position:sticky;top:0;background:#eee}'
    'td.lane{background:#eef6ff}small{color:#555;display:block}'
)


def format_event(event: Event) -> str:
    """Return an event as one line of text."""
    fields = ' '.join(
        f'{_format_value(name)}={_format_value(value)}'
        for name, value in event['fields'].items()
    )
    words = (event['time'], event['process'], event['kind'])
    shown = ' '.join(_format_value(word) for word in words)
    return '{0:>8} {1} {2}'.format(event['lamport'], shown, fields).rstrip()


def format_page(events: Iterable[Event]) -> str:
    """Return an HTML table with one column per process.

    :param events: in causal order.
    """
    rows = list(events)
    lanes = sorted({event['process'] for event in rows})
    heads = ''.join(f'<th>{escape(lane)}</th>' for lane in lanes)
    body = '\n'.join(_format_row(event, lanes) for event in rows)
    return (
        '<!DOCTYPE html>\n<html lang="en"><head><meta charset="utf-8">'
        f'<title>Timeline</title><style>{_STYLE}</style></head><body>\n'
        f'<table><thead><tr><th>order</th>{heads}</tr></thead><tbody>\n'
        f'{body}\n</tbody></table></body></html>\n'
    )


def _format_row(event: Event, lanes: list[str]) -> str:
    details = ' '.join(
        f'{name}={_format_value(value)}'
        for name, value in event['fields'].items()
    )
    shown = (
        f'<td class="lane"><b>{escape(event["kind"])}</b> {escape(details)}'
        f'<small>{escape(event["time"])}</small></td>'
    )
    cells = ''.join(
        shown if lane == event['process'] else '<td></td>' for lane in lanes
    )
    return f'<tr><td>{event["lamport"]}</td>{cells}</tr>'


def _format_value(value: Any) -> str:
    # JSON quoting escapes line breaks and other control characters.
    if isinstance(value, str) and value.isprintable() and ' ' not in value:
        return value
    return encode_json(value).decode()
