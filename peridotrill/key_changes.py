"""Granting and withdrawal of API keys through the log."""

import re
from contextlib import suppress
from datetime import timedelta
from typing import Final, NamedTuple, Protocol, TypeAlias, final

from peridotrill.catalog import Catalog
from peridotrill.exceptions import AppendOutcomeUnknown
from peridotrill.keys import KeyGrant, KeyTable, create_key, digest_key
from peridotrill.log_poller import LogPoller, RecordLog
from peridotrill.records import KeyGranted, KeyWithdrawn

_NAME_PATTERN: Final = re.compile('[A-Za-z0-9][A-Za-z0-9._-]{0,62}')


class KeyTableState(Protocol):
    """The part of ``ControlState`` that key changes use."""

    @property
    def catalog(self) -> Catalog:
        """Return the catalog of the current version."""

    @property
    def keys(self) -> KeyTable:
        """Return the valid keys."""

    @property
    def offset(self) -> int:
        """Return the offset of the newest record that was read."""


class KeyLog(RecordLog, Protocol):
    """The log and the state built from its records."""

    @property
    def state(self) -> KeyTableState:
        """Return the state at the newest record that was read."""


class Granted(NamedTuple):
    """The key is valid.

    ``key`` is only shown to the operator; the log stores its digest.
    """

    key: str
    grant: KeyGrant


class Withdrawn(NamedTuple):
    """The key with this name is no longer valid."""

    name: str


class KeyRefused(NamedTuple):
    """The change was refused and has no effect."""

    code: str
    message: str


class KeyOutcomeUnknown(NamedTuple):
    """The append may still take effect."""

    name: str


GrantOutcome: TypeAlias = Granted | KeyRefused | KeyOutcomeUnknown
WithdrawOutcome: TypeAlias = Withdrawn | KeyRefused | KeyOutcomeUnknown


@final
class KeyManager:
    """Appends key changes to the log and polls the log for their outcome."""

    def __init__(self, log: KeyLog, log_poller: LogPoller) -> None:
        """:param log_poller: polls the same log."""
        self._log = log
        self._log_poller = log_poller

    async def grant(self, name: str, team: str) -> GrantOutcome:
        """Create a key for a team.

        :param name: identifies the key in ``keys list`` and ``keys withdraw``.
        :param team: a team of the current configuration.
        :return: the outcome. The key is returned only after its digest was
            read back from the log. Raises LogError if nothing was appended.
        """
        # Reads to the end of the log, without waiting for new records.
        await self._log.refresh(timedelta(0))
        refusal = self._check_grant(name, team)
        if refusal is not None:
            return refusal
        key = create_key()
        grant = KeyGrant(name, team, digest_key(key))
        # Stays None if the outcome of the append is unknown.
        offset = None
        with suppress(AppendOutcomeUnknown):
            offset = await self._log.append(
                KeyGranted(
                    kind='key_granted',
                    name=name,
                    team=team,
                    digest=grant.digest,
                ),
            )
        outcome: GrantOutcome | None = await self._log_poller.poll_until(
            lambda: self._find_grant(key, grant, offset),
        )
        return KeyOutcomeUnknown(name) if outcome is None else outcome

    async def withdraw(self, name: str) -> WithdrawOutcome:
        """Withdraw the key with this name.

        :return: the outcome. Raises LogError if nothing was appended.
        """
        await self._log.refresh(timedelta(0))
        grant = self._log.state.keys.get(name)
        if grant is None:
            return KeyRefused('no_such_key', f'no key is named {name!r}')
        # The log is polled even if the outcome of the append is unknown.
        with suppress(AppendOutcomeUnknown):
            await self._log.append(
                KeyWithdrawn(kind='key_withdrawn', name=name),
            )
        outcome = await self._log_poller.poll_until(
            lambda: self._find_withdrawal(grant),
        )
        return outcome or KeyOutcomeUnknown(name)

    def _check_grant(self, name: str, team: str) -> KeyRefused | None:
        if not _NAME_PATTERN.fullmatch(name):
            message = f'key names must match {_NAME_PATTERN.pattern}'
            return KeyRefused('invalid_name', message)
        state = self._log.state
        if state.keys.get(name) is not None:
            return _name_taken(name)
        services = state.catalog.services.values()
        if not any(team in service.teams for service in services):
            message = f'no service has the team {team!r}'
            return KeyRefused('unknown_team', message)
        return None

    def _find_grant(
        self,
        key: str,
        grant: KeyGrant,
        offset: int | None,
    ) -> Granted | KeyRefused | None:
        state = self._log.state
        found = state.keys.get(grant.name)
        if found == grant:
            return Granted(key, grant)
        if found is not None:
            return _name_taken(grant.name)
        if offset is not None and state.offset >= offset:
            # The record was read, but the name is not in the table any more.
            message = f'{grant.name!r} was withdrawn by another operator'
            return KeyRefused('withdrawn', message)
        return None

    def _find_withdrawal(self, grant: KeyGrant) -> Withdrawn | None:
        found = self._log.state.keys.get(grant.name)
        # A different grant under this name is newer than the withdrawal.
        return None if found == grant else Withdrawn(grant.name)


def _name_taken(name: str) -> KeyRefused:
    return KeyRefused('name_taken', f'there is already a key named {name!r}')
