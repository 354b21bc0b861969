"""Inserts the generated tables between the markers of the page."""

import re
from typing import Final

from capacity.event_tables import render_events
from capacity.proposals import render_proposals
from capacity.results import Results
from capacity.tables import tables

_BLOCK: Final = re.compile(
    r'<!-- generated (\w+) -->\n.*?<!-- end \1 -->',
    re.DOTALL,
)
# These imports register the tables of their modules.
_REGISTERED: Final = (render_events, render_proposals)


def fill_page(text: str, results: Results) -> str:
    """Return the page with its tables replaced.

    :param text: the page; raises KeyError if the marker of a table is missing
        or names an unknown table.
    """
    page_names = set(_BLOCK.findall(text))
    if page_names != set(tables):
        names = ', '.join(sorted(page_names ^ set(tables)))
        raise KeyError(f'page markers and registered tables differ: {names}')

    def replace(match: re.Match[str]) -> str:
        name = match.group(1)
        render = tables.get(name)
        assert render is not None
        start = f'<!-- generated {name} -->'
        return f'{start}\n\n{render(results)}\n\n<!-- end {name} -->'

    return _BLOCK.sub(replace, text)
