"""Writes the generated tables between the markers of the page."""

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
# The imports register the tables of the other modules.
_REGISTERED: Final = (render_events, render_proposals)


def fill_page(text: str, results: Results) -> str:
    """Return the page with new tables.

    :param text: raises KeyError if it lacks a table or names an unknown one.
    """
    page_names = set(_BLOCK.findall(text))
    if page_names != set(tables):
        names = ', '.join(sorted(page_names ^ set(tables)))
        raise KeyError(f'tables that the page or the program lacks: {names}')

    def replace(match: re.Match[str]) -> str:
        name = match.group(1)
        render = tables.get(name)
        assert render is not None
        start = f'<!-- generated {name} -->'
        return f'{start}\n\n{render(results)}\n\n<!-- end {name} -->'

    return _BLOCK.sub(replace, text)
