"""State charts read from TOML files, and state machines that follow them."""

import tomllib
from importlib import resources
from typing import NamedTuple, final

from peridotrill.exceptions import InvalidTransition, StateChartError


class Chart(NamedTuple):
    """A state chart: ``transitions`` maps (state, event) to a state."""

    name: str
    initial: str
    states: frozenset[str]
    final_states: frozenset[str]
    transitions: dict[tuple[str, str], str]

    @classmethod
    def from_text(cls, text: str) -> 'Chart':
        """Parse a chart.

        :param text: TOML with ``name``, ``initial``, ``states``, ``final``
            and a list ``transitions`` of ``from`` (a state, or a list of
            states), ``event``, ``to``. Raises StateChartError.
        """
        document = tomllib.loads(text)
        chart = cls(
            name=document['name'],
            initial=document['initial'],
            states=frozenset(document['states']),
            final_states=frozenset(document.get('final', ())),
            transitions=_read_transitions(document['transitions']),
        )
        chart.check()
        return chart

    def check(self) -> None:
        """Raise StateChartError if the chart is inconsistent.

        All states that are named must be declared, and final states must
        have no transitions.
        """
        named = {self.initial, *self.final_states}
        named.update(state for state, _ in self.transitions)
        named.update(self.transitions.values())
        unknown = named - self.states
        if unknown:
            raise StateChartError(
                f'chart {self.name}: unknown states {sorted(unknown)}',
            )
        leaving = {state for state, _ in self.transitions}
        if leaving & self.final_states:
            raise StateChartError(
                f'chart {self.name}: a final state has transitions',
            )


def _read_transitions(
    rows: list[dict[str, str | list[str]]],
) -> dict[tuple[str, str], str]:
    transitions: dict[tuple[str, str], str] = {}
    for row in rows:
        sources = row['from']
        if isinstance(sources, str):
            sources = [sources]
        for source in sources:
            transitions[source, str(row['event'])] = str(row['to'])
    return transitions


def load_chart(name: str) -> Chart:
    """Load a chart that is packaged with the program.

    :param name: file name in ``statecharts`` without the suffix.
    """
    folder = resources.files('peridotrill') / 'statecharts'
    return Chart.from_text((folder / f'{name}.toml').read_text('utf-8'))


@final
class StateMachine:
    """The current state of one object in a chart."""

    __slots__ = ('_chart', 'state')

    def __init__(self, chart: Chart, state: str | None = None) -> None:
        """:param state: state to restore; by default the initial state.

        Raises StateChartError if the chart does not have the state.
        """
        if state is not None and state not in chart.states:
            raise StateChartError(f'chart {chart.name}: no state {state!r}')
        self._chart = chart
        self.state = chart.initial if state is None else state

    @property
    def is_final(self) -> bool:
        """Return whether the state is final, so that no event is allowed."""
        return self.state in self._chart.final_states

    def allows(self, event: str) -> bool:
        """Return whether the event has a transition from this state."""
        return (self.state, event) in self._chart.transitions

    def fire(self, event: str) -> str:
        """Take the transition for an event.

        :param event: raises InvalidTransition if it is not allowed in the
            current state.
        :return: the new state.
        """
        target = self._chart.transitions.get((self.state, event))
        if target is None:
            raise InvalidTransition(
                f'{self._chart.name}: {event} is not allowed in {self.state}',
            )
        self.state = target
        return target
