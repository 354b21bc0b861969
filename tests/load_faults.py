"""Draws the faults of a load from a seed, as a list that can be played again.

Nothing is drawn while the faults are played, so a list means the same whatever
the gateways do. The engines of a site are named by their places: the process at
a place changes, and so may its id, its address and its version.
"""

import json
import random
from typing import NamedTuple

VERSIONS = ('v1', 'v2', 'v3')
# Time before the first fault and after the last one.
MARGIN_S = 1.0
# Time in which an engine process starts beside other load.
START_S = 1.0
RELEASE_S = 4.0
_FIRST_CHANGE = 'restart_cut_off_engine'


class Fault(NamedTuple):
    """One fault; ``settings`` are the arguments of the method that plays it."""

    at_s: float
    action: str
    settings: dict


class PlanOptions(NamedTuple):
    """What the drawing of faults depends on besides the seed.

    ``uniform_s`` is the time for which all engines run one software version.
    """

    duration_s: float
    uniform_s: float = 0.0
    has_proxies: bool = False
    without: tuple = ()


class _Action(NamedTuple):
    weight: int
    draw: object
    needs_proxies: bool


ACTIONS = {}


def _action(weight, needs_proxies=False):
    def register(draw):
        name = draw.__name__.removeprefix('_draw_')
        ACTIONS[name] = _Action(weight, draw, needs_proxies)
        return draw

    return register


class Plan:
    """Draws faults one after another."""

    def __init__(self, shape, seed, options):
        self.shape = shape
        self.random = random.Random(seed)
        self.options = options
        self.at_s = MARGIN_S
        self._awaits_change = (
            options.uniform_s > 0
            and options.has_proxies
            and _FIRST_CHANGE not in options.without
        )
        # By the places of the decode engines.
        self.versions = ['v1'] * shape.decode
        self._free_from_s = [0.0] * shape.decode

    def draw(self):
        """Return all faults in the order of their times."""
        faults = []
        end_s = self.options.duration_s - MARGIN_S
        while self.at_s < end_s:
            fault = self._draw_fault()
            if fault is not None:
                faults.append(fault)
            self.at_s += self.random.uniform(0.05, 0.6)
        return faults

    @property
    def is_uniform(self):
        return self.at_s < self.options.uniform_s or self._awaits_change

    def _draw_fault(self):
        name = self._draw_name()
        is_change = self._awaits_change and (
            self.at_s >= self.options.uniform_s
        )
        if is_change:
            # Gateways that know of two versions ask which one responds: they
            # can overlook the first change only.
            name = _FIRST_CHANGE
            self._awaits_change = False
        settings = ACTIONS[name].draw(self)
        if settings is None:
            self._awaits_change |= is_change
            return None
        return Fault(round(self.at_s, 3), name, settings)

    def take_engine(self, duration_s):
        """Return the place of an engine without a fault; None if there is none."""
        places = [
            place
            for place, free_s in enumerate(self._free_from_s)
            if free_s <= self.at_s
        ]
        if not places:
            return None
        place = self.random.choice(places)
        self._free_from_s[place] = self.at_s + duration_s
        return place

    def gateway(self):
        return self.random.randrange(self.shape.gateways)

    def version(self, choices):
        found = self.random.choice(choices)
        return 'v1' if self.is_uniform else found

    def _draw_name(self):
        allowed = {
            name: row.weight
            for name, row in ACTIONS.items()
            if name not in self.options.without
            and (self.options.has_proxies or not row.needs_proxies)
        }
        return self.random.choices([*allowed], [*allowed.values()])[0]


@_action(3)
def _draw_kill_gateways(plan):
    count = plan.random.choice((1, 1, 1, 2, plan.shape.gateways))
    chosen = plan.random.sample(range(plan.shape.gateways), count)
    return {'gateways': chosen}


@_action(1)
def _draw_stop_gateway(plan):
    return {'gateway': plan.gateway()}


@_action(1)
def _draw_reload_gateway(plan):
    return {'gateway': plan.gateway()}


@_action(2)
def _draw_freeze_gateway(plan):
    return {'gateway': plan.gateway(), 'duration_s': _draw_pause_s(plan)}


@_action(2)
def _draw_freeze_engine(plan):
    duration_s = _draw_pause_s(plan)
    place = plan.take_engine(duration_s)
    if place is None:
        return None
    return {'engine': place, 'duration_s': duration_s}


def _draw_pause_s(plan):
    return plan.random.choice((0.05, 0.3, 1.0, 2.0, 4.0))


@_action(4)
def _draw_restart_engine(plan):
    delay_s = plan.random.choice((0, 0, 0.3, 1.5))
    late_s = plan.random.choice((0, 0, 0.5, 3))
    place = plan.take_engine(delay_s + START_S + late_s)
    if place is None:
        return None
    version = plan.version((plan.versions[place], 'v1', 'v2'))
    plan.versions[place] = version
    return {
        'engine': place,
        'version': version,
        'delay_s': delay_s,
        'late_s': late_s,
    }


@_action(2)
def _draw_replace_engine(plan):
    delay_s = plan.random.choice((0, 1))
    place = plan.take_engine(delay_s + START_S)
    if place is None:
        return None
    plan.versions[place] = plan.version(('v1', 'v2'))
    return {
        'engine': place,
        'suffix': plan.random.randrange(10**6),
        'version': plan.versions[place],
        'delay_s': delay_s,
    }


@_action(1)
def _draw_release(plan):
    version = plan.version(VERSIONS)
    chosen = []
    for _ in range(plan.shape.release_step):
        place = plan.take_engine(RELEASE_S)
        if place is not None:
            plan.versions[place] = version
            chosen.append([place, plan.random.randrange(10**6)])
    return {'engines': chosen, 'version': version} if chosen else None


@_action(2)
def _draw_cut_store(plan):
    duration_s = plan.random.choice((0.3, 2, 5))
    return {'gateway': plan.gateway(), 'duration_s': duration_s}


@_action(1)
def _draw_slow_store(plan):
    delays_s = [
        plan.random.choice((0.05, 0.2)) for _ in range(plan.shape.gateways)
    ]
    return {'delays_s': delays_s, 'duration_s': 3}


@_action(1)
def _draw_fault_store(plan):
    fault = plan.random.choice(('down', 'silent', 'lose_appends'))
    return {'fault': fault, 'duration_s': plan.random.choice((0.5, 2, 5))}


@_action(2, needs_proxies=True)
def _draw_cut_engine(plan):
    duration_s = _draw_cut_s(plan)
    place = plan.take_engine(duration_s)
    if place is None:
        return None
    return {
        'engine': place,
        'duration_s': duration_s,
        'old': plan.random.choice(('resume', 'silent')),
    }


@_action(2, needs_proxies=True)
def _draw_cut_gateway(plan):
    return {
        'gateway': plan.gateway(),
        'duration_s': _draw_cut_s(plan),
        'old': plan.random.choice(('resume', 'silent', 'reset')),
    }


@_action(2, needs_proxies=True)
def _draw_restart_cut_off_engine(plan):
    duration_s = _draw_cut_s(plan)
    late_s = round(plan.random.uniform(0, 3), 2)
    place = plan.take_engine(max(duration_s, START_S) + late_s)
    if place is None:
        return None
    others = [row for row in VERSIONS if row != plan.versions[place]]
    plan.versions[place] = plan.version(others)
    return {
        'engine': place,
        'version': plan.versions[place],
        'duration_s': duration_s,
        'late_s': late_s,
        'old': plan.random.choice(('silent', 'silent', 'reset')),
    }


def _draw_cut_s(plan):
    return round(plan.random.uniform(0.5, 4), 2)


def plan_faults(shape, seed, options):
    """Return the faults of a seed."""
    return Plan(shape, seed, options).draw()


def write_faults(path, run, faults):
    """Write a list of faults, below a line with the settings of the run."""
    rows = [run, *(fault._asdict() for fault in faults)]
    path.write_text(''.join(f'{json.dumps(row)}\n' for row in rows))


def read_faults(path):
    """Return the settings of a run, and its faults."""
    run, *rows = map(json.loads, path.read_text().splitlines())
    return run, [Fault(**row) for row in rows]
