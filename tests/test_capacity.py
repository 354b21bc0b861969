"""Checks the fastest growing costs of docs/CAPACITY.md by counts, not time."""

import json
from collections import Counter
from pathlib import Path

import anyio
import pytest

from capacity import link_fixtures, service_files
from capacity.page import fill_page
from capacity.results import Results, fit_line
from peridotrill import messages
from peridotrill.control_state import ControlState
from peridotrill.publishing import compute_change
from peridotrill.records import ConfigPublished, encode_record

ROOT = Path(__file__).parent.parent
MEASURED_S = 3.0
REPORTS_PER_S = 4
# Periodic messages: two heartbeats in each direction, and the load reports.
MESSAGES_PER_S_PER_LINK = 4 + REPORTS_PER_S
# Payloads without headers: 490 without probes, which occur on a busy machine.
MAX_BYTES_PER_S_PER_LINK = 620


@pytest.fixture
def anyio_backend():
    return 'asyncio'


class ReceivedCounter:
    """Counts the messages, by type, and the bytes that both ends receive."""

    def __init__(self):
        self.kinds = Counter()
        self.size_bytes = 0
        self._decode = messages.decode_batch

    def __call__(self, payload):
        batch = self._decode(payload)
        self.kinds.update(type(entry).__name__ for entry in batch.messages)
        self.size_bytes += len(payload)
        return batch


async def measure_idle_links(links_count, counter):
    addresses = link_fixtures.free_ports(links_count)
    listeners = [link_fixtures.make_listener(address) for address in addresses]
    links = [link_fixtures.make_link(address, 'e1') for address in addresses]
    async with anyio.create_task_group() as tasks:
        for end in (*listeners, *links):
            tasks.start_soon(end.run)
            tasks.start_soon(link_fixtures.discard_events, end.events)
        await link_fixtures.wait_until_up(links)
        for listener in listeners:
            tasks.start_soon(link_fixtures.report_load, listener, REPORTS_PER_S)
        await anyio.sleep(1)
        counter.kinds.clear()
        counter.size_bytes = 0
        started_s = anyio.current_time()
        await anyio.sleep(MEASURED_S)
        elapsed_s = anyio.current_time() - started_s
        tasks.cancel_scope.cancel()
    kinds = dict(counter.kinds)
    kinds.pop('AcknowledgeBatches')
    assert set(kinds) == {'Heartbeat', 'LoadReport'}
    return sum(kinds.values()) / elapsed_s, counter.size_bytes / elapsed_s


@pytest.mark.anyio
async def test_idle_link_sends_a_bounded_number_of_messages_and_bytes(
    monkeypatch,
):
    # Guards against an additional periodic message per link, which an entry
    # with 820 links would send or receive 820 times.
    counter = ReceivedCounter()
    monkeypatch.setattr(messages, 'decode_batch', counter)
    sizes = (4, 8, 16)
    counted = [await measure_idle_links(size, counter) for size in sizes]
    sent = fit_line(sizes, [row[0] for row in counted])
    size_bytes = fit_line(sizes, [row[1] for row in counted])
    assert 1 < sent.per_unit < MESSAGES_PER_S_PER_LINK * 1.15
    assert 50 < size_bytes.per_unit < MAX_BYTES_PER_S_PER_LINK


def publish_bytes(files, changed_teams):
    state = ControlState()
    published = {
        f'service-{number}': service_files.make_text(number, 40)
        for number in range(files)
    }
    edited = published | {
        'service-0': service_files.make_text(0, changed_teams)
    }
    for service_texts in (published, edited):
        change = compute_change(service_texts, state.service_texts)
        record = ConfigPublished(
            kind='config_published',
            publish_id=f'{state.offset:032x}',
            base_version=state.catalog.version,
            changed=change.changed,
            removed=list(change.removed),
            author='operator',
        )
        state.apply(state.offset + 1, record, 0)
        assert state.catalog.version == state.offset
    return len(encode_record(record))


def test_config_change_contains_only_the_changed_file():
    # Guards against a publish that also appends unchanged files.
    assert {publish_bytes(files, 50) for files in (1, 8, 24)} == {
        publish_bytes(2, 50)
    }
    teams = (50, 100, 400)
    linear_fit = fit_line(teams, [publish_bytes(2, size) for size in teams])
    line = '  team-0000: {rate_per_s: 12, burst: 8, weight: 3}\n'
    assert linear_fit.per_unit == pytest.approx(len(line), abs=1)
    assert linear_fit.fixed < 500


def test_hello_grows_by_a_bounded_number_of_bytes_per_entry():
    # Guards against larger entries in the list of Hello, which is sent once
    # per link when all nodes start.
    sizes = (5, 100, 420)
    counted = [
        len(
            messages.encode_batch(
                messages.Batch(1, 1, [link_fixtures.make_hello('e1', size)]),
            ),
        )
        for size in sizes
    ]
    assert fit_line(sizes, counted).per_unit < 52


def test_page_matches_the_results_file():
    # Guards against figures on the page that the stored results do not give.
    text = (ROOT / 'docs' / 'CAPACITY.md').read_text('utf-8')
    results_file = ROOT / 'measurements' / 'capacity.json'
    results = Results(json.loads(results_file.read_text('utf-8')))
    is_current = fill_page(text, results) == text
    assert is_current, 'page is outdated: run python -m capacity --page-only'


def test_fit_line_uses_least_squares():
    # Guards against fits of too few points and wrong residuals.
    linear_fit = fit_line((1, 2, 3), (3, 5, 7))
    assert (linear_fit.per_unit, linear_fit.fixed) == pytest.approx((2, 1))
    assert linear_fit.residual == pytest.approx(0)
    linear_fit = fit_line((0, 1, 2, 3), (0, 2, 0, 2))
    assert linear_fit.per_unit == pytest.approx(0.4)
    assert linear_fit.residual == pytest.approx(0.8**0.5 / 2)
    with pytest.raises(ValueError, match='3 points'):
        fit_line((1, 2), (1, 2))
