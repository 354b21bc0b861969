"""Service files: YAML documents that describe one service each."""

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
# Shared by all model services, so plain services must not use them.
RESERVED_PATHS: Final = frozenset((*MODEL_PATHS, '/v1/models'))
METHODS: Final = frozenset(
    ('GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS'),
)
PRIORITY_RANGE: Final = NumberRange(0, 9)
RATE_RANGE_PER_S: Final = NumberRange(0.001, 1_000_000)
BURST_RANGE: Final = NumberRange(1, 1_000_000)
WEIGHT_RANGE: Final = NumberRange(0.01, 1000)
TARGETS_PER_ZONE_RANGE: Final = NumberRange(0, 1000)
TARGET_COUNT_RANGE: Final = NumberRange(1, 10_000)
LATENCY_TARGET_RANGE: Final = DurationRange(
    timedelta(milliseconds=1), timedelta(minutes=10)
)
DEADLINE_RANGE: Final = DurationRange(
    timedelta(milliseconds=100), timedelta(hours=1)
)
RETENTION_RANGE: Final = DurationRange(timedelta(seconds=10), timedelta(days=1))

_DEFAULT_PRIORITY: Final = 5
_DEFAULT_WEIGHT: Final = 1.0
_DEFAULT_LATENCY_TARGET: Final = timedelta(milliseconds=1200)
_DEFAULT_DEADLINE: Final = timedelta(seconds=60)
_DEFAULT_RETENTION: Final = timedelta(seconds=900)
_NAME: Final = re.compile('[a-z][a-z0-9-]{0,62}')
_MODEL: Final = re.compile('[A-Za-z0-9][A-Za-z0-9._:/-]{0,127}')
_PATH: Final = re.compile('/[A-Za-z0-9._~/-]{0,255}')
_PARSE_CACHE_SIZE: Final = 64


class Route(NamedTuple):
    """A path, or a path prefix if it ends in ``/``, with its methods."""

    path: str
    methods: frozenset[str]
    idempotent: bool
    open: bool


class TeamPolicy(NamedTuple):
    """Rate limit in requests and fair-share weight of a team."""

    rate_per_s: float
    burst: int
    weight: float


class TargetPolicy(NamedTuple):
    """Number of targets of a service and the models they load."""

    min_per_zone: int
    max_total: int
    roles: dict[str, int]
    models: tuple[str, ...]
    adapters: tuple[str, ...]


class Service(NamedTuple):
    """The configuration of a service; priority 0 is the most urgent."""

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
    """A valid service with the source positions of its fields."""

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

    :param place: file name, used in findings.
    :param text: content of the file; need not be valid.
    :return: the service, or all findings of the file.
    """
    return read_service_file(place, text).map(lambda found: found.service)


@lru_cache(maxsize=_PARSE_CACHE_SIZE)
def read_service_file(
    place: str,
    text: str,
) -> Result[ServiceFile, list[Finding]]:
    """Parse a service file and keep the positions of its fields.

    Results are cached, so that unchanged files are not parsed again when
    another file is published.

    :return: the file, or all its findings; must not be modified, because
        the result is shared.
    """
    match compose(place, text):
        case Result(tag='ok', ok=root):
            return _ServiceReader(place).read(root)
        case Result(error=finding):
            return Error([finding])


@final
class _ServiceReader:
    """Parses one service file; an invalid field is returned as None."""

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
            message = 'model is required for a model service'
            self._nodes.report(root, 'missing', message)
        for node, route in self._routes(fields, parsed):
            if route.path not in MODEL_PATHS or route.methods != {'POST'}:
                message = 'a model service can only have POST {0}'
                text = message.format(' and '.join(MODEL_PATHS))
                self._nodes.report(node, 'not_a_model_route', text)
            elif route.open:
                message = 'a route of a model service cannot be open'
                self._nodes.report(node, 'open_model_route', message)
        targets, model = parsed.get('targets'), parsed.get('model')
        if targets and targets.models and model not in targets.models:
            message = 'targets.models must include the model of the service'
            self._nodes.report(fields['targets'], 'model_not_held', message)

    def _check_plain_service(
        self,
        root: yaml.Node,
        fields: dict[str, yaml.Node],
        parsed: dict[str, Any],
    ) -> None:
        model_node = fields.get('model')
        if model_node is not None:
            message = 'model is not allowed for a plain service'
            self._nodes.report(model_node, 'not_allowed', message)
        if 'routes' not in fields:
            message = 'routes is required for a plain service'
            self._nodes.report(root, 'missing', message)
        for node, route in self._routes(fields, parsed):
            if route.path in RESERVED_PATHS:
                message = f'{route.path} is reserved for model services'
                self._nodes.report(node, 'reserved_path', message)
        targets = parsed.get('targets')
        if targets and (targets.roles or targets.models or targets.adapters):
            message = 'a plain service has no roles, models or adapters'
            self._nodes.report(fields['targets'], 'not_allowed', message)

    def _check_durations(
        self,
        fields: dict[str, yaml.Node],
        parsed: dict[str, Any],
    ) -> None:
        durations = _with_defaults(parsed)
        # An invalid duration, read as None, already has its own finding.
        if None in durations.values():
            return
        # If a key expired while its request still runs, the request could run
        # twice.
        ordered = ('latency_target', 'deadline', 'idempotency_retention')
        for shorter, longer in pairwise(ordered):
            if durations[shorter] > durations[longer]:
                # The defaults are in order, so the file sets one or both.
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
        return self._nodes.integer(node, PRIORITY_RANGE)

    def _read_latency_target(self, node: yaml.Node) -> timedelta | None:
        return self._nodes.duration(node, LATENCY_TARGET_RANGE)

    def _read_deadline(self, node: yaml.Node) -> timedelta | None:
        return self._nodes.duration(node, DEADLINE_RANGE)

    def _read_idempotency_retention(self, node: yaml.Node) -> timedelta | None:
        return self._nodes.duration(node, RETENTION_RANGE)

    def _read_routes(self, node: yaml.Node) -> tuple[Route | None, ...]:
        elements = self._nodes.sequence(node)
        if isinstance(node, yaml.SequenceNode) and not elements:
            self._nodes.report(node, 'empty', 'at least one route is required')
        return tuple(self._read_route(element) for element in elements)

    def _read_route(self, node: yaml.Node) -> Route | None:
        findings_before = len(self._nodes.findings)
        fields = self._nodes.fields(node, Route._fields, _ROUTE_REQUIRED)
        readers = {
            'path': self._read_path,
            'methods': self._read_methods,
            'idempotent': self._nodes.boolean,
            'open': self._nodes.boolean,
        }
        parsed = _read_known(fields, readers)
        if len(self._nodes.findings) > findings_before:
            return None
        route = Route(**{'open': False, **parsed})
        if route.open and not route.idempotent:
            # Idempotency keys are scoped to a team; open routes have none.
            message = 'an open route must be idempotent'
            self._nodes.report(node, 'open_not_idempotent', message)
        return route

    def _read_path(self, node: yaml.Node) -> str | None:
        path = self._nodes.text(node, _PATH)
        if path is None:
            return None
        segments = path.strip('/').split('/')
        if '//' in path or not {'.', '..'}.isdisjoint(segments):
            message = 'path must not contain empty, "." or ".." segments'
            self._nodes.report(node, 'invalid', message)
        return path

    def _read_methods(self, node: yaml.Node) -> frozenset[str]:
        methods = self._nodes.unique_texts(
            node,
            lambda element: self._nodes.choice(element, METHODS),
        )
        if isinstance(node, yaml.SequenceNode) and not node.value:
            self._nodes.report(node, 'empty', 'at least one method is required')
        return frozenset(methods)

    def _read_teams(self, node: yaml.Node) -> dict[str, TeamPolicy | None]:
        return {
            name: self._read_team(name, policy)
            for name, policy in self._nodes.mapping(node).items()
        }

    def _read_team(self, name: str, node: yaml.Node) -> TeamPolicy | None:
        if not _NAME.fullmatch(name):
            message = f'team name must match {_NAME.pattern}'
            self._nodes.report(node, 'invalid', message)
        fields = self._nodes.fields(
            node,
            TeamPolicy._fields,
            ('rate_per_s', 'burst'),
        )
        readers = {
            'rate_per_s': lambda at: self._nodes.number(at, RATE_RANGE_PER_S),
            'burst': lambda at: self._nodes.integer(at, BURST_RANGE),
            'weight': lambda at: self._nodes.number(at, WEIGHT_RANGE),
        }
        parsed = _read_known(fields, readers)
        if {'rate_per_s', 'burst'} <= parsed.keys():
            return TeamPolicy(**{'weight': _DEFAULT_WEIGHT, **parsed})
        return None

    def _read_targets(self, node: yaml.Node) -> TargetPolicy | None:
        findings_before = len(self._nodes.findings)
        fields = self._nodes.fields(
            node,
            TargetPolicy._fields,
            _TARGETS_REQUIRED,
        )
        readers = {
            'min_per_zone': self._read_min_per_zone,
            'max_total': lambda at: self._nodes.integer(at, TARGET_COUNT_RANGE),
            'roles': self._read_roles,
            'models': self._read_models,
            'adapters': self._read_models,
        }
        parsed = _read_known(fields, readers)
        if len(self._nodes.findings) > findings_before:
            return None
        defaults: dict[str, Any] = {'roles': {}, 'models': (), 'adapters': ()}
        policy = TargetPolicy(**{**defaults, **parsed})
        needed = max(policy.min_per_zone, sum(policy.roles.values()))
        if needed > policy.max_total:
            message = f'max_total must be at least {needed}'
            self._nodes.report(node, 'inconsistent', message)
        return policy

    def _read_min_per_zone(self, node: yaml.Node) -> int | None:
        return self._nodes.integer(node, TARGETS_PER_ZONE_RANGE)

    def _read_roles(self, node: yaml.Node) -> dict[str, int | None]:
        roles = self._nodes.mapping(node)
        counts: dict[str, int | None] = {}
        for name, count in roles.items():
            if not _NAME.fullmatch(name):
                message = f'role name must match {_NAME.pattern}'
                self._nodes.report(count, 'invalid', message)
            counts[name] = self._nodes.integer(count, TARGET_COUNT_RANGE)
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
