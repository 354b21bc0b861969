"""The service file: one YAML document that describes one service."""

import re
from datetime import timedelta
from functools import lru_cache
from itertools import pairwise
from typing import Any, Final, Literal, NamedTuple, final

import yaml
from expression import Error, Ok, Result

from peridotrill.findings import Finding
from peridotrill.yaml_nodes import (
    DurationRange,
    Mark,
    NodeReader,
    NumberRange,
    compose,
)

FILE_SUFFIX: Final = '.peridotrill.yaml'
MAX_PATH_CHARACTERS: Final = 256
MODEL_PATHS: Final = ('/v1/chat/completions', '/v1/completions')
# Served by entries for all model services together.
RESERVED_PATHS: Final = frozenset((*MODEL_PATHS, '/v1/models'))
METHODS: Final = frozenset(
    ('GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS'),
)
PRIORITIES: Final = NumberRange(0, 9)
RATES_PER_S: Final = NumberRange(0.001, 1_000_000)
BURSTS: Final = NumberRange(1, 1_000_000)
WEIGHTS: Final = NumberRange(0.01, 1000)
TARGETS_PER_ZONE: Final = NumberRange(0, 1000)
TARGETS_TOTAL: Final = NumberRange(1, 10_000)
LATENCY_TARGETS: Final = DurationRange(
    timedelta(milliseconds=1), timedelta(minutes=10)
)
DEADLINES: Final = DurationRange(
    timedelta(milliseconds=100), timedelta(hours=1)
)
RETENTIONS: Final = DurationRange(timedelta(seconds=10), timedelta(days=1))

_DEFAULT_PRIORITY: Final = 5
_DEFAULT_WEIGHT: Final = 1.0
_DEFAULT_LATENCY_TARGET: Final = timedelta(milliseconds=1200)
_DEFAULT_DEADLINE: Final = timedelta(seconds=60)
_DEFAULT_RETENTION: Final = timedelta(seconds=900)
_NAME: Final = re.compile('[a-z][a-z0-9-]{0,62}')
_MODEL: Final = re.compile('[A-Za-z0-9][A-Za-z0-9._:/-]{0,127}')
_PATH: Final = re.compile('/[A-Za-z0-9._~/-]{0,255}')
_CACHED_FILES: Final = 64


class Route(NamedTuple):
    """A path, or a prefix of paths if it ends in ``/``, and its methods."""

    path: str
    methods: frozenset[str]
    idempotent: bool
    open: bool


class TeamPolicy(NamedTuple):
    """Limit and weight of one team at one service, in requests."""

    rate_per_s: float
    burst: int
    weight: float


class TargetPolicy(NamedTuple):
    """How many targets a service has, and what they hold."""

    min_per_zone: int
    max_total: int
    roles: dict[str, int]
    models: tuple[str, ...]
    adapters: tuple[str, ...]


class Service(NamedTuple):
    """What a service file says; priority 0 is the most urgent one."""

    name: str
    kind: Literal['model', 'plain']
    model: str | None
    priority: int
    latency_target: timedelta
    deadline: timedelta
    idempotency_retention: timedelta
    routes: tuple[Route, ...]
    teams: dict[str, TeamPolicy]
    targets: TargetPolicy


class ServiceFile(NamedTuple):
    """A valid service with the places that cross-file findings name."""

    place: str
    service: Service
    name_mark: Mark
    model_mark: Mark
    route_marks: tuple[Mark, ...]


_SERVICE_REQUIRED: Final = ('name', 'kind', 'teams', 'targets')
_SERVICE_FIELDS: Final = Service._fields
_ROUTE_REQUIRED: Final = ('path', 'methods', 'idempotent')
_TARGETS_REQUIRED: Final = ('min_per_zone', 'max_total')


def parse_service(place: str, text: str) -> Result[Service, list[Finding]]:
    """Parse a service file.

    :param place: name of the file in findings.
    :param text: any text.
    :return: the service, or all findings of this file.
    """
    return read_service_file(place, text).map(lambda found: found.service)


@lru_cache(maxsize=_CACHED_FILES)
def read_service_file(
    place: str,
    text: str,
) -> Result[ServiceFile, list[Finding]]:
    """Parse a service file and keep the places of its fields.

    Unchanged files are not parsed again when another file is published.

    :return: the file, or all findings in it; neither may be modified.
    """
    match compose(place, text):
        case Result(tag='ok', ok=root):
            return _ServiceReader(place).read(root)
        case Result(error=finding):
            return Error([finding])


@final
class _ServiceReader:
    """Reads one service file; a field with a finding reads as None."""

    def __init__(self, place: str) -> None:
        self._place = place
        self._nodes = NodeReader(place)

    def read(self, root: yaml.Node) -> Result[ServiceFile, list[Finding]]:
        fields = self._nodes.fields(root, _SERVICE_FIELDS, _SERVICE_REQUIRED)
        parsed = {
            name: getattr(self, f'_read_{name}')(node)
            for name, node in fields.items()
            if name in _SERVICE_FIELDS
        }
        self._check_kind(root, fields, parsed)
        self._check_durations(fields, parsed)
        if self._nodes.findings:
            return Error(self._nodes.findings)
        return Ok(self._build(fields, parsed))

    def _build(
        self,
        fields: dict[str, yaml.Node],
        parsed: dict[str, Any],
    ) -> ServiceFile:
        routes = parsed.get('routes', ())
        model = parsed.get('model')
        targets = parsed['targets']
        if model is not None and not targets.models:
            targets = targets._replace(models=(model,))
        durations = _with_defaults(parsed)
        service = Service(
            name=parsed['name'],
            kind=parsed['kind'],
            model=model,
            priority=parsed.get('priority', _DEFAULT_PRIORITY),
            routes=routes or _model_routes(),
            teams=parsed['teams'],
            targets=targets,
            **durations,
        )
        route_nodes = fields['routes'].value if routes else ()
        return ServiceFile(
            place=self._place,
            service=service,
            name_mark=_mark_of(fields['name']),
            model_mark=_mark_of(fields.get('model', fields['name'])),
            route_marks=tuple(_mark_of(node) for node in route_nodes),
        )

    def _check_kind(
        self,
        root: yaml.Node,
        fields: dict[str, yaml.Node],
        parsed: dict[str, Any],
    ) -> None:
        kind = parsed.get('kind')
        if kind == 'model':
            self._check_model_service(root, fields, parsed)
        elif kind == 'plain':
            self._check_plain_service(root, fields, parsed)

    def _check_model_service(
        self,
        root: yaml.Node,
        fields: dict[str, yaml.Node],
        parsed: dict[str, Any],
    ) -> None:
        if 'model' not in fields:
            message = 'model is needed by a model service'
            self._nodes.report(root, 'missing', message)
        for node, route in self._routes(fields, parsed):
            if route.path not in MODEL_PATHS or route.methods != {'POST'}:
                message = 'a model service has POST {0} only'
                text = message.format(' and '.join(MODEL_PATHS))
                self._nodes.report(node, 'not_a_model_route', text)
            elif route.open:
                message = 'a route of a model service cannot be open'
                self._nodes.report(node, 'open_model_route', message)
        targets, model = parsed.get('targets'), parsed.get('model')
        if targets and targets.models and model not in targets.models:
            message = 'targets.models must contain the model of the service'
            self._nodes.report(fields['targets'], 'model_not_held', message)

    def _check_plain_service(
        self,
        root: yaml.Node,
        fields: dict[str, yaml.Node],
        parsed: dict[str, Any],
    ) -> None:
        model_node = fields.get('model')
        if model_node is not None:
            message = 'a plain service has no model'
            self._nodes.report(model_node, 'not_allowed', message)
        if 'routes' not in fields:
            message = 'routes is needed by a plain service'
            self._nodes.report(root, 'missing', message)
        for node, route in self._routes(fields, parsed):
            if route.path in RESERVED_PATHS:
                message = f'{route.path} belongs to the model services'
                self._nodes.report(node, 'reserved_path', message)
        targets = parsed.get('targets')
        if targets and (targets.roles or targets.models or targets.adapters):
            message = 'targets of a plain service have no roles or models'
            self._nodes.report(fields['targets'], 'not_allowed', message)

    def _check_durations(
        self,
        fields: dict[str, yaml.Node],
        parsed: dict[str, Any],
    ) -> None:
        durations = _with_defaults(parsed)
        # An invalid duration has its own finding; None is not compared.
        if None in durations.values():
            return
        # A key that is forgotten while its request runs could run twice.
        ordered = ('latency_target', 'deadline', 'idempotency_retention')
        for shorter, longer in pairwise(ordered):
            if durations[shorter] > durations[longer]:
                # At least one of them is in the file; defaults are in order.
                given = (name for name in (longer, shorter) if name in fields)
                at = fields[next(given)]
                message = f'{longer} must not be shorter than {shorter}'
                self._nodes.report(at, 'inconsistent', message)

    def _routes(
        self,
        fields: dict[str, yaml.Node],
        parsed: dict[str, Any],
    ) -> list[tuple[yaml.Node, Route]]:
        routes = parsed.get('routes') or ()
        nodes = fields['routes'].value if routes else ()
        pairs = zip(nodes, routes, strict=True)
        return [pair for pair in pairs if pair[1] is not None]

    def _read_name(self, node: yaml.Node) -> str | None:
        return self._nodes.text(node, _NAME)

    def _read_kind(self, node: yaml.Node) -> str | None:
        return self._nodes.choice(node, ('model', 'plain'))

    def _read_model(self, node: yaml.Node) -> str | None:
        return self._nodes.text(node, _MODEL)

    def _read_priority(self, node: yaml.Node) -> int | None:
        return self._nodes.integer(node, PRIORITIES)

    def _read_latency_target(self, node: yaml.Node) -> timedelta | None:
        return self._nodes.duration(node, LATENCY_TARGETS)

    def _read_deadline(self, node: yaml.Node) -> timedelta | None:
        return self._nodes.duration(node, DEADLINES)

    def _read_idempotency_retention(self, node: yaml.Node) -> timedelta | None:
        return self._nodes.duration(node, RETENTIONS)

    def _read_routes(self, node: yaml.Node) -> tuple[Route | None, ...]:
        elements = self._nodes.sequence(node)
        if isinstance(node, yaml.SequenceNode) and not elements:
            self._nodes.report(node, 'empty', 'at least one route is needed')
        return tuple(self._read_route(element) for element in elements)

    def _read_route(self, node: yaml.Node) -> Route | None:
        known_before = len(self._nodes.findings)
        fields = self._nodes.fields(node, Route._fields, _ROUTE_REQUIRED)
        readers = {
            'path': self._read_path,
            'methods': self._read_methods,
            'idempotent': self._nodes.boolean,
            'open': self._nodes.boolean,
        }
        parsed = _read_known(fields, readers)
        if len(self._nodes.findings) > known_before:
            return None
        route = Route(**{'open': False, **parsed})
        if route.open and not route.idempotent:
            # Idempotency keys are scoped by team; an open route has none.
            message = 'an open route must be idempotent'
            self._nodes.report(node, 'open_not_idempotent', message)
        return route

    def _read_path(self, node: yaml.Node) -> str | None:
        path = self._nodes.text(node, _PATH)
        if path is None:
            return None
        segments = path.strip('/').split('/')
        if '//' in path or not {'.', '..'}.isdisjoint(segments):
            message = 'no empty segments, "." or ".." are allowed'
            self._nodes.report(node, 'invalid', message)
        return path

    def _read_methods(self, node: yaml.Node) -> frozenset[str]:
        methods = self._nodes.unique_texts(
            node,
            lambda element: self._nodes.choice(element, METHODS),
        )
        if isinstance(node, yaml.SequenceNode) and not node.value:
            self._nodes.report(node, 'empty', 'at least one method is needed')
        return frozenset(methods)

    def _read_teams(self, node: yaml.Node) -> dict[str, TeamPolicy | None]:
        return {
            name: self._read_team(name, policy)
            for name, policy in self._nodes.mapping(node).items()
        }

    def _read_team(self, name: str, node: yaml.Node) -> TeamPolicy | None:
        if not _NAME.fullmatch(name):
            message = f'the name of a team must match {_NAME.pattern}'
            self._nodes.report(node, 'invalid', message)
        fields = self._nodes.fields(
            node,
            TeamPolicy._fields,
            ('rate_per_s', 'burst'),
        )
        readers = {
            'rate_per_s': lambda at: self._nodes.number(at, RATES_PER_S),
            'burst': lambda at: self._nodes.integer(at, BURSTS),
            'weight': lambda at: self._nodes.number(at, WEIGHTS),
        }
        parsed = _read_known(fields, readers)
        if {'rate_per_s', 'burst'} <= parsed.keys():
            return TeamPolicy(**{'weight': _DEFAULT_WEIGHT, **parsed})
        return None

    def _read_targets(self, node: yaml.Node) -> TargetPolicy | None:
        known_before = len(self._nodes.findings)
        fields = self._nodes.fields(
            node,
            TargetPolicy._fields,
            _TARGETS_REQUIRED,
        )
        readers = {
            'min_per_zone': self._read_min_per_zone,
            'max_total': lambda at: self._nodes.integer(at, TARGETS_TOTAL),
            'roles': self._read_roles,
            'models': self._read_models,
            'adapters': self._read_models,
        }
        parsed = _read_known(fields, readers)
        if len(self._nodes.findings) > known_before:
            return None
        defaults: dict[str, Any] = {'roles': {}, 'models': (), 'adapters': ()}
        policy = TargetPolicy(**{**defaults, **parsed})
        needed = max(policy.min_per_zone, sum(policy.roles.values()))
        if needed > policy.max_total:
            message = f'max_total must be at least {needed}'
            self._nodes.report(node, 'inconsistent', message)
        return policy

    def _read_min_per_zone(self, node: yaml.Node) -> int | None:
        return self._nodes.integer(node, TARGETS_PER_ZONE)

    def _read_roles(self, node: yaml.Node) -> dict[str, int | None]:
        roles = self._nodes.mapping(node)
        counts: dict[str, int | None] = {}
        for name, count in roles.items():
            if not _NAME.fullmatch(name):
                message = f'the name of a role must match {_NAME.pattern}'
                self._nodes.report(count, 'invalid', message)
            counts[name] = self._nodes.integer(count, TARGETS_TOTAL)
        return counts

    def _read_models(self, node: yaml.Node) -> tuple[str, ...]:
        found = self._nodes.unique_texts(
            node,
            lambda element: self._nodes.text(element, _MODEL),
        )
        return tuple(found)


def _read_known(
    fields: dict[str, yaml.Node],
    readers: dict[str, Any],
) -> dict[str, Any]:
    return {
        name: readers[name](node)
        for name, node in fields.items()
        if name in readers
    }


def _with_defaults(parsed: dict[str, Any]) -> dict[str, Any]:
    defaults = {
        'latency_target': _DEFAULT_LATENCY_TARGET,
        'deadline': _DEFAULT_DEADLINE,
        'idempotency_retention': _DEFAULT_RETENTION,
    }
    return {
        name: parsed.get(name, default) for name, default in defaults.items()
    }


def _model_routes() -> tuple[Route, ...]:
    return tuple(
        Route(path, frozenset(('POST',)), idempotent=True, open=False)
        for path in MODEL_PATHS
    )


def _mark_of(node: yaml.Node) -> Mark:
    return Mark.from_yaml(node.start_mark)
