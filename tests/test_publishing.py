import anyio
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from peridotrill import publishing
from peridotrill.clock import ManualClock
from peridotrill.exceptions import LogUnavailable, RecordError
from peridotrill.log_poller import LogPoller
from peridotrill.publishing import Publisher, compute_change, load_folder
from tests.builders import model_document, plain_document, service_text
from tests.fake_log import FakeLog, FakeOperatorLog

FOLDERS = st.dictionaries(
    st.sampled_from(('a', 'b', 'c')),
    st.integers(0, 2),
    min_size=1,
).map(
    lambda priorities: {
        name: service_text(plain_document(name, priority=priority))
        for name, priority in priorities.items()
    },
)
FAULTS = st.sampled_from(
    ('none', 'none', 'unavailable', 'answer_lost', 'lost', 'late'),
)


def create_publisher(log):
    clock = ManualClock()
    operator_log = FakeOperatorLog(log, clock)
    return Publisher(operator_log, LogPoller(operator_log, clock))


def run_publish(log, service_texts, author='ann', base_version=None):
    publisher = create_publisher(log)
    return anyio.run(publisher.publish, service_texts, author, base_version)


def reference_history(records):
    """Return texts by version, and the accepted version of each author."""
    history, version, authors = {0: {}}, 0, {}
    for offset, record in enumerate(records, start=1):
        if record['base_version'] == version:
            service_texts = {**history[version], **record['changed']}
            for name in record['removed']:
                del service_texts[name]
            history[offset], version = service_texts, offset
            authors[record['author']] = offset
    return history, authors


class PublishStateMachine(RuleBasedStateMachine):
    """Operators publish concurrently; responses and records get lost."""

    def __init__(self):
        super().__init__()
        self.log = FakeLog()
        self.outcomes = {}
        self.published_texts = {}

    async def publish(self, service_texts, base_version=None):
        author = f'call-{len(self.published_texts)}'
        self.published_texts[author] = service_texts
        publisher = create_publisher(self.log)
        try:
            outcome = await publisher.publish(
                service_texts, author, base_version
            )
        except LogUnavailable as error:
            outcome = error
        self.outcomes[author] = outcome

    @rule(
        service_texts=FOLDERS,
        fault=FAULTS,
        concurrent=st.none() | FOLDERS,
        base=st.none() | st.integers(0, 12),
    )
    def publish_concurrently(self, service_texts, fault, concurrent, base):
        async def race():
            # The concurrent publish happens between read and append.
            if concurrent is not None:
                await self.publish(concurrent)

        async def body():
            self.log.before_append, self.log.fault = race, fault
            await self.publish(service_texts, base)

        anyio.run(body)
        self.log.before_append, self.log.fault = None, 'none'

    @rule()
    def deliver_delayed(self):
        self.log.deliver_delayed()

    @invariant()
    def outcomes_agree_with_the_log(self):
        # Delayed records must not change an outcome when they arrive.
        history, authors = reference_history(
            self.log.records + self.log.delayed
        )
        written = {record['author'] for record in self.log.records}
        in_flight = {record['author'] for record in self.log.delayed}
        for author, outcome in self.outcomes.items():
            match outcome:
                case publishing.Accepted(version=version):
                    assert authors[author] == version
                    assert history[version] == self.published_texts[author]
                case publishing.Unchanged(version=version):
                    assert author not in written | in_flight
                    assert history[version] == self.published_texts[author]
                case publishing.LostRace():
                    assert author not in authors
                    assert outcome.version > outcome.base_version or (
                        author not in written
                    )
                case LogUnavailable():
                    assert author not in written | in_flight


PublishStateMachine.TestCase.settings = settings(
    max_examples=60,
    stateful_step_count=12,
)
TestPublishStateMachine = PublishStateMachine.TestCase


def test_lost_append_response_is_resolved_by_polling():
    # Guards against a second append after a lost response.
    log = FakeLog()
    log.fault = 'answer_lost'
    service_texts = {'a': service_text(plain_document('a'))}
    assert run_publish(log, service_texts).version == 1
    assert run_publish(log, service_texts, base_version=0).version == 1
    assert len(log.records) == 1


def test_outcome_is_unknown_until_another_publish_is_accepted():
    log = FakeLog()
    log.fault = 'late'
    service_texts = {'a': service_text(plain_document('a'))}
    outcome = run_publish(log, service_texts)
    assert isinstance(outcome, publishing.OutcomeUnknown)
    assert run_publish(log, service_texts).version == 1
    log.deliver_delayed()
    assert run_publish(log, service_texts) == publishing.Unchanged(1)


def test_lost_race_reports_changed_services_and_authors():
    log = FakeLog()
    service_texts = {'a': service_text(plain_document('a'))}
    both = {**service_texts, 'b': service_text(plain_document('b'))}
    run_publish(log, service_texts, 'ann')
    run_publish(log, both, 'ben')
    outcome = run_publish(log, service_texts, 'cas', base_version=1)
    assert outcome == publishing.LostRace(1, 2, ('b',), ('ben',))
    assert len(log.records) == 2


def test_catalog_rejected_by_readers_is_reported():
    outcome = run_publish(FakeLog(), {'a': 'not a service'})
    assert outcome == publishing.Rejected(1)


def test_change_larger_than_a_record_is_not_appended():
    log = FakeLog()
    service_texts = {f's{number}': 'x' * 60_000 for number in range(20)}
    with pytest.raises(RecordError):
        run_publish(log, service_texts)
    assert not log.records


def test_publish_appends_only_changed_files():
    # Guards against record sizes that grow with the configuration.
    log = FakeLog()
    service_texts = {
        'a': service_text(plain_document('a')),
        'b': service_text(plain_document('b')),
    }
    run_publish(log, service_texts)
    run_publish(log, {'a': service_text(plain_document('a', priority=9))})
    assert log.records[1]['changed'].keys() == {'a'}
    assert log.records[1]['removed'] == ['b']


def test_polling_continues_during_an_outage():
    class Outage(FakeOperatorLog):
        failures = 3

        async def refresh(self, wait):
            if self._log.records and self.failures:
                self.failures -= 1
                raise LogUnavailable('down')
            await super().refresh(wait)

    async def body():
        slept = []

        async def sleep(delay_s):
            slept.append(delay_s)

        clock = ManualClock()
        operator_log = Outage(FakeLog(), clock)
        publisher = Publisher(
            operator_log, LogPoller(operator_log, clock, sleep=sleep)
        )
        service_texts = {'a': service_text(plain_document('a'))}
        assert isinstance(
            await publisher.publish(service_texts, 'ann'), publishing.Accepted
        )
        assert len(slept) == 3

    anyio.run(body)


def test_folder_reports_the_findings_of_all_files(tmp_path):
    def write(path, payload):
        place = tmp_path / f'{path}.peridotrill.yaml'
        place.parent.mkdir(exist_ok=True)
        place.write_bytes(payload)

    write('a/a', service_text(plain_document('a')).encode())
    (tmp_path / 'a' / 'notes.yaml').write_text('ignored')
    assert load_folder(tmp_path).ok.keys() == {'a'}
    write('b/again', service_text(plain_document('a')).encode())
    write('c/bytes', b'name: x\n# \xff\n')
    write('d/broken', b'name: [')
    write('e/model', service_text(model_document(model=1)).encode())
    write('f/huge', b'x' * 300_000)
    (tmp_path / 'g.peridotrill.yaml').mkdir()
    findings = load_folder(tmp_path).error
    assert {found.code for found in findings} == {
        'duplicate',
        'encoding',
        'syntax',
        'wrong_type',
        'too_large',
        'unreadable',
    }
    assert all(str(tmp_path) in found.place for found in findings)


def test_an_empty_folder_does_not_remove_every_service(tmp_path):
    assert load_folder(tmp_path).error[0].code == 'no_files'
    assert load_folder(tmp_path / 'none').error[0].code == 'no_files'
    assert compute_change({}, {'a': ''}).removed == ('a',)
