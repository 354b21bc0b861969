"""Runs the measurements, stores the results and updates the page.

``--page-only`` updates the page from the stored results.
"""

import json
import sys
from pathlib import Path
from typing import Final

from capacity.page import fill_page
from capacity.results import Results
from capacity.runner import run_all

_ROOT: Final = Path(__file__).parent.parent
RESULTS_PATH: Final = _ROOT / 'measurements' / 'capacity.json'
PAGE_PATH: Final = _ROOT / 'docs' / 'CAPACITY.md'


def main() -> None:
    """Run the command line."""
    if '--page-only' not in sys.argv[1:]:
        RESULTS_PATH.parent.mkdir(exist_ok=True)
        document = json.dumps(run_all(), indent=1, sort_keys=True)
        RESULTS_PATH.write_text(f'{document}\n', 'utf-8')
    results = Results(json.loads(RESULTS_PATH.read_text('utf-8')))
    page = fill_page(PAGE_PATH.read_text('utf-8'), results)
    PAGE_PATH.write_text(page, 'utf-8')


if __name__ == '__main__':
    main()
