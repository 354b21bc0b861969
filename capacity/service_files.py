"""Generates service files and key records for measurements."""

from hashlib import sha256

from peridotrill.records import KeyGranted


def make_text(number: int, teams: int, burst: int = 8, routes: int = 1) -> str:
    """Return a valid service file for the plain service ``service-NUMBER``.

    :param teams: number of teams, formatted as in the example deployments.
    """
    name = f'service-{number}'
    lines = [f'name: {name}', 'kind: plain', 'deadline: 10s', 'routes:']
    lines.extend(
        f'  - {{path: /{name}/path-{route}/, methods: [GET], idempotent: true}}'
        for route in range(routes)
    )
    lines.append('teams:')
    lines.extend(
        f'  team-{team:04}: {{rate_per_s: 12, burst: {burst}, weight: 3}}'
        for team in range(teams)
    )
    lines.append('targets: {min_per_zone: 1, max_total: 4}')
    return '\n'.join(lines) + '\n'


def make_key_grant(number: int) -> KeyGranted:
    """Return a ``key_granted`` record."""
    return KeyGranted(
        kind='key_granted',
        name=f'team-{number % 1100:04}-key-{number}',
        team=f'team-{number % 1100:04}',
        digest=sha256(b'%d' % number).hexdigest(),
    )
