"""Decoding of the operator's configuration record."""

from collections.abc import Callable, Mapping
from typing import Any, Final

from peridotrill.codec import check_integer, check_text, decode_json
from peridotrill.exceptions import CodecError
from peridotrill.gateway.configuration import (
    CallerLimits,
    Configuration,
    EngineModel,
    Route,
    ServiceSpec,
    ServiceWeight,
    Team,
)
from peridotrill.gateway.requests import RequestKind
from peridotrill.platform import names

# Raised while decoding a malformed document.
DECODE_ERRORS: Final = (
    KeyError,
    TypeError,
    ValueError,
    AttributeError,
    ArithmeticError,
)


def decode_configuration(content: bytes) -> Configuration:
    """Decode one configuration version; raises CodecError if invalid."""
    document = decode_json(content)
    try:
        return Configuration(
            check_integer(document['version']),
            tuple(_decode_route(row) for row in document['routes']),
            {row['name']: _decode_service(row) for row in document['services']},
            tuple(_decode_team(row) for row in document.get('tenants') or ()),
            _decode_limits(document.get('limits') or {}),
        )
    except DECODE_ERRORS as error:
        raise CodecError(f'invalid configuration: {error!r}') from error


def decode_evacuated_zone(key: str) -> str | None:
    """Return the zone whose evacuation a key names; None for other keys.

    Raises CodecError if the key names no zone.
    """
    if not key.startswith(names.EVACUATION_PREFIX):
        return None
    zone = key.removeprefix(names.EVACUATION_PREFIX)
    if not zone:
        raise CodecError('key names no zone')
    return zone


def _decode_regions(row: Mapping[str, Any]) -> frozenset[str] | None:
    """Return the regions to which a row is restricted; None for no limit."""
    regions = row.get('allowed-regions')
    if not regions:
        return None
    if not isinstance(regions, list):
        raise TypeError('allowed-regions is not a list')
    return frozenset(check_text(name) for name in regions)


def _decode_route(row: Mapping[str, Any]) -> Route:
    split = row.get('split')
    services = (
        tuple(
            ServiceWeight(part['service'], float(part['weight']))
            for part in split
        )
        if split
        else (ServiceWeight(row['service'], 1.0),)
    )
    return Route(
        name=row['name'],
        host=row['host'].lower(),
        path_prefix=row['path-prefix'],
        kind=RequestKind(row['kind']),
        timeout_ms=float(row.get('timeout-ms') or 30000),
        goal_ms=float(row.get('goal-ms') or 1000),
        priority=int(row.get('priority') or 0),
        services=services,
        max_targets=max(1, int(row.get('attempts') or 1)),
        is_public=bool(row.get('public')),
        can_resume=bool(row.get('can-resume')),
        allowed_regions=_decode_regions(row),
    )


def _decode_service(row: Mapping[str, Any]) -> ServiceSpec:
    engine = row.get('engine')
    model = None
    if engine:
        model = EngineModel(
            kv_tokens=check_integer(engine.get('kv-tokens') or 0)
        )
    return ServiceSpec(
        row['name'],
        model,
        cold_s=float(row.get('cold-s') or 0),
        cold_per_s=float(row.get('cold-per-s') or 0),
    )


def _decode_team(row: Mapping[str, Any]) -> Team:
    priority = row.get('priority')
    return Team(
        name=row['name'],
        api_keys=frozenset(row.get('api-keys') or ()),
        priority=None if priority is None else int(priority),
        rate_per_s=float(row.get('rate-per-s') or 0),
        burst=float(row.get('burst') or 0),
        counts_tokens=row.get('unit') == 'token_stream',
        plain_tokens=float(row.get('plain-tokens') or 1),
        allowed_regions=_decode_regions(row),
    )


def _decode_limits(row: Mapping[str, Any]) -> CallerLimits:
    defaults = CallerLimits()
    return CallerLimits(
        int(row.get('max-header-bytes') or defaults.max_header_bytes),
        int(row.get('max-body-bytes') or defaults.max_body_bytes),
        float(row.get('header-timeout-ms') or defaults.header_timeout_ms),
        float(row.get('idle-timeout-ms') or defaults.idle_timeout_ms),
    )


_RowDecoder = Callable[[Mapping[str, Any]], Any]

# Decoders of the rows of each section, for checks of single rows.
ROW_DECODERS: Final[Mapping[str, _RowDecoder]] = {
    'routes': _decode_route,
    'services': _decode_service,
    'tenants': _decode_team,
}
