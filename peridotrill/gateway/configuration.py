"""The configuration in force: routes, services, teams and limits."""

from typing import Final, NamedTuple, final

from peridotrill.gateway.requests import RequestKind


class ServiceWeight(NamedTuple):
    """Share of a route's requests that a service receives."""

    service: str
    weight: float


class Route(NamedTuple):
    """One route; ``max_targets`` limits the targets that run a request.

    ``allowed_regions`` are the regions whose targets may run its requests, None
    for all.
    """

    name: str
    host: str
    path_prefix: str
    kind: RequestKind
    timeout_ms: float
    goal_ms: float
    priority: int
    services: tuple[ServiceWeight, ...]
    max_targets: int
    is_public: bool
    can_resume: bool
    allowed_regions: frozenset[str] | None = None

    @property
    def is_repeatable(self) -> bool:
        """Whether a request may be executed more than once."""
        if self.kind is RequestKind.STREAM:
            return self.can_resume
        return self.kind is RequestKind.IDEMPOTENT


class EngineModel(NamedTuple):
    """Declared memory of the model engines of a service, in tokens."""

    kv_tokens: int


class ServiceSpec(NamedTuple):
    """One service; ``engine`` is None for plain services.

    For ``cold_s`` after its start, a target tolerates ``cold_per_s`` requests
    per second. If either is 0, its targets need no warm-up.
    """

    name: str
    engine: EngineModel | None
    cold_s: float = 0
    cold_per_s: float = 0


class Team(NamedTuple):
    """One team; a rate of zero means no limit.

    Rate and burst are in tokens if ``counts_tokens`` is set, else in
    requests. A request without a prompt counts as ``plain_tokens`` tokens.
    ``allowed_regions`` are the regions whose targets may run its requests, None
    for all.
    """

    name: str
    api_keys: frozenset[str]
    priority: int | None
    rate_per_s: float
    burst: float
    counts_tokens: bool
    plain_tokens: float
    allowed_regions: frozenset[str] | None = None


class CallerLimits(NamedTuple):
    """Size limits and timeouts for requests of callers."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 4194304
    header_timeout_ms: float = 3000
    idle_timeout_ms: float = 15000


DEFAULT_CALLER_LIMITS: Final = CallerLimits()


def _prefix_length(route: Route) -> int:
    return len(route.path_prefix)


@final
class Configuration:
    """One version of the configuration, with lookups."""

    def __init__(
        self,
        version: int,
        routes: tuple[Route, ...],
        services: dict[str, ServiceSpec],
        teams: tuple[Team, ...],
        limits: CallerLimits,
    ) -> None:
        """:param version: increases with each publish."""
        self.version = version
        self.services = services
        self.teams = {team.name: team for team in teams}
        self.limits = limits
        self.route_count = len(routes)
        self._team_by_key = {
            key: team for team in teams for key in team.api_keys
        }
        self._routes_by_host: dict[str, list[Route]] = {}
        for route in routes:
            self._routes_by_host.setdefault(route.host, []).append(route)
        for rows in self._routes_by_host.values():
            rows.sort(key=_prefix_length, reverse=True)

    @property
    def requires_keys(self) -> bool:
        """Whether requests on non-public routes need an API key."""
        return bool(self.teams)

    @property
    def engine_memory_tokens(self) -> int:
        """Memory of the smallest engine, in tokens; 0 without engines."""
        return min(
            (
                service.engine.kv_tokens
                for service in self.services.values()
                if service.engine is not None
            ),
            default=0,
        )

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching path prefix."""
        for route in self._routes_by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def find_team(self, api_key: str) -> Team | None:
        """Return the team that owns an API key."""
        return self._team_by_key.get(api_key)
