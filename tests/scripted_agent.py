"""Scripted agent that replaces the links in tests of entries."""

from random import Random

from peridotrill import messages
from peridotrill.attempt_dependencies import AttemptDependencies
from peridotrill.clock import SystemClock
from peridotrill.dispatch import Dispatcher
from peridotrill.exceptions import LinkClosed
from peridotrill.forwarded_keys import ForwardedKeyTable
from peridotrill.inboxes import Inboxes
from peridotrill.link import LinkDown, LinkUp
from peridotrill.placement import Placement, home_target
from peridotrill.targets import TargetTable, VmRow
from peridotrill.timeline import Recorder
from tests import builders

START = messages.StartAttempt
STARTED = messages.AttemptStarted('', replayed=False)
HEAD = messages.AttemptHead('', 200, [])
END = messages.AttemptEnd('', 6, 3, 2)
DOWN = LinkDown('silent')
UP = LinkUp(builders.welcome(), is_new_incarnation=False)
UP_NEW = LinkUp(builders.welcome('a2'), is_new_incarnation=True)


def chunk(position, payload):
    return messages.AttemptChunk('', position, payload)


def refused(code, not_run=True):
    return messages.AttemptRefused('', code, '', not_run, 0)


def failed(outcome):
    return messages.AttemptFailed('', 'crashed', '', outcome, 0, 0)


COMPLETE_RESPONSE = [STARTED, HEAD, chunk(0, b'abc'), chunk(3, b'def'), END]


class ScriptedAgent:
    """Handles each start with the next script, in place of links."""

    def __init__(self, *scripts, targets=('t1', 't2'), service='receipts'):
        self.scripts = list(scripts)
        self.sent = []
        self.counted = []
        self.clock = SystemClock()
        self.inboxes = Inboxes()
        self.forwarded_keys = ForwardedKeyTable(self.clock)
        self.table = TargetTable(self.clock)
        self.table.apply_vms(
            VmRow(f'vm-{name}', 'target', 'live', 'z1', service, name)
            for name in targets
        )
        for name in targets:
            welcome = builders.welcome()._replace(target_id=name)
            self.table.link_up(name, welcome)
            self.table.update_load(name, builders.load_report())
        self.placements = {service: [Placement(1, targets, 0)]}
        dispatcher = Dispatcher(
            self.table, 'z1', self.clock, Random(1), self.placements
        )
        self.local_attempts = dispatcher.local_attempts
        recorder = Recorder('entry', self.clock)
        self.dependencies = AttemptDependencies.from_config(
            self, dispatcher, self, self.clock, recorder
        )

    def count(self, *figures):
        self.counted.append(figures)

    def agent_clock_s(self, target_id):
        return 100.0

    def send(self, target_id, message):
        if isinstance(message, messages.StartAttempt):
            script = self.scripts.pop(0)
            if script == 'closed':
                raise LinkClosed('closed')
            self.script = script
        self.sent.append((target_id, message))
        self.run_script(target_id, message)

    def run_script(self, target_id, message):
        """Run the script up to the step that waits for another message."""
        while self.script:
            step = self.script[0]
            if isinstance(step, type):
                if not isinstance(message, step):
                    return
                message = None
            elif isinstance(step, LinkUp | LinkDown):
                self.inboxes.broadcast(target_id, step)
            else:
                attempt_id = self.attempt_ids()[-1]
                self.inboxes.deliver(
                    target_id, step._replace(attempt_id=attempt_id)
                )
            self.script = self.script[1:]

    def home(self, key):
        rows = next(iter(self.placements.values()))
        return home_target(key, rows[-1].targets)

    def records(self):
        rows = self.placements.items()
        return [
            record
            for service, placements in rows
            for name in placements[-1].targets
            for part in self.forwarded_keys.messages(
                service, name, placements[-1]
            )
            for record in part.records
        ]

    def of_type(self, kind):
        return [entry for _, entry in self.sent if isinstance(entry, kind)]

    def attempt_ids(self):
        return [start.attempt_id for start in self.of_type(START)]
