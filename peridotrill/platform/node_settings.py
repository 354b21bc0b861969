"""Decoding and validation of the settings file written by the platform."""

from collections.abc import Mapping
from pathlib import Path
from typing import Any, Final, NamedTuple

import yaml
from expression import Error, Ok, Result

from peridotrill.findings import Finding
from peridotrill.settings import Address, parse_address

SETTINGS_VARIABLE: Final = 'PERIDOTRILL_BOOT'

_Loader: Final = getattr(yaml, 'CSafeLoader', yaml.SafeLoader)


class Bounds(NamedTuple):
    """Limits of a deployment; defaults apply to those not given."""

    drain_ms: float = 2000
    grace_s: float = 8
    revoke_ms: float = 5000
    retry_ratio: float = 0.2
    retry_window_s: float = 10
    retry_slack: float = 50
    quota_slack: float = 0
    quota_window_s: float = 8
    lease_ms: float = 3000
    usage_window_s: float = 5
    usage_late_s: float = 10
    cold_over: float = 1
    cold_slack: float = 0


class NodeSettings(NamedTuple):
    """Settings of one gateway process; ``peer_port`` is a UDP port."""

    node: str
    zone: str
    ip: str
    caller_address: Address
    ready_address: Address
    peer_port: int
    store_address: Address
    duties_address: Address | None
    duties: tuple[str, ...]
    bounds: Bounds
    is_first_start: bool
    memory_limit_mb: float
    max_descriptors: float
    zone_regions: dict[str, str]


# Memory of a process whose settings name no limit.
_DEFAULT_MEMORY_LIMIT_MB: Final = 256
# Descriptors of a process whose settings name no limit.
_DEFAULT_MAX_DESCRIPTORS: Final = 1024
# Fields of ``Bounds`` and their names in the settings file.
_BOUND_NAMES: Final = (
    ('drain_ms', 'drain-ms'),
    ('grace_s', 'grace-s'),
    ('revoke_ms', 'revoke-ms'),
    ('retry_ratio', 'budget-ratio'),
    ('retry_window_s', 'budget-window-s'),
    ('retry_slack', 'budget-slack'),
    ('quota_slack', 'quota-slack'),
    ('quota_window_s', 'quota-window-s'),
    ('lease_ms', 'lease-ms'),
    ('usage_window_s', 'window-s'),
    ('usage_late_s', 'usage-late-s'),
    ('cold_over', 'cold-over'),
    ('cold_slack', 'cold-slack'),
)


def read_node_settings(
    path: Path,
) -> Result[NodeSettings, list[Finding]]:
    """Read the settings file; return the settings or all findings."""
    try:
        document = yaml.load(path.read_bytes(), Loader=_Loader)  # noqa: S506
    except (OSError, yaml.YAMLError) as error:
        return Error([Finding(str(path), 0, 0, 'unreadable', str(error))])
    if not isinstance(document, dict):
        return Error([Finding(str(path), 0, 0, 'invalid', 'must be a mapping')])
    return _Reader(str(path), document).read()


class _Reader:
    """Reads the values of one settings file and collects findings."""

    def __init__(self, location: str, document: Mapping[str, Any]) -> None:
        self._path = location
        self._document = document
        self._findings: list[Finding] = []

    def read(self) -> Result[NodeSettings, list[Finding]]:
        """Return the settings, or a finding for each invalid value."""
        duties_address = None
        if self._get('cloud') is not None:
            duties_address = self._address('cloud', 'addr')
        node = NodeSettings(
            node=self._string('node'),
            zone=self._string('zone'),
            ip=self._string('ip'),
            caller_address=self._address('listen', 'front'),
            ready_address=self._address('listen', 'ready'),
            peer_port=int(self._number(0, 'port-range', 0)),
            store_address=self._address('platform', 'addr'),
            duties_address=duties_address,
            duties=tuple(self._get('cloud', 'duties') or ()),
            bounds=self._bounds(),
            is_first_start=self._get('bootstrap') is True,
            memory_limit_mb=self._number(
                _DEFAULT_MEMORY_LIMIT_MB, 'limits', 'memory-limit-mb'
            ),
            max_descriptors=self._number(
                _DEFAULT_MAX_DESCRIPTORS, 'limits', 'max-fds'
            ),
            zone_regions=self._zone_regions(),
        )
        return Error(self._findings) if self._findings else Ok(node)

    def _bounds(self) -> Bounds:
        defaults = Bounds()
        return Bounds(
            **{
                field: self._number(getattr(defaults, field), 'bounds', name)
                for field, name in _BOUND_NAMES
            },
        )

    def _zone_regions(self) -> dict[str, str]:
        regions = self._get('zones')
        if regions is None:
            return {}
        if not isinstance(regions, dict):
            self._add_finding(('zones',), 'invalid', 'must be a mapping')
            return {}
        return {str(zone): str(region) for zone, region in regions.items()}

    def _get(self, *keys: Any) -> Any:
        found: Any = self._document
        for key in keys:
            try:
                found = found[key]
            except (KeyError, IndexError, TypeError):
                return None
        return found

    def _string(self, *keys: Any) -> str:
        found = self._get(*keys)
        if isinstance(found, str) and found:
            return found
        self._add_finding(keys, 'missing', 'must be a non-empty string')
        return ''

    def _number(self, default: float, *keys: Any) -> float:
        found = self._get(*keys)
        if found is None:
            return default
        if isinstance(found, (int, float)):
            return float(found)
        self._add_finding(keys, 'invalid', 'must be a number')
        return default

    def _address(self, *keys: Any) -> Address:
        text = self._string(*keys)
        try:
            return parse_address(text)
        except ValueError as error:
            if text:
                self._add_finding(keys, 'invalid', str(error))
        return Address('', 0)

    def _add_finding(
        self, keys: tuple[Any, ...], code: str, message: str
    ) -> None:
        location = '{0}:{1}'.format(self._path, '.'.join(map(str, keys)))
        self._findings.append(Finding(location, 0, 0, code, message))
