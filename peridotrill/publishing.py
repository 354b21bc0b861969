"""Publishing of a folder of service files through the log."""

import secrets
from collections.abc import Mapping
from contextlib import suppress
from datetime import timedelta
from pathlib import Path
from typing import Any, Final, NamedTuple, Protocol, TypeAlias, final

from expression import Error, Ok, Result

from peridotrill.catalog import Catalog, find_duplicates, parse_service_files
from peridotrill.exceptions import AppendOutcomeUnknown
from peridotrill.findings import Finding
from peridotrill.log_poller import LogPoller, RecordLog
from peridotrill.records import ConfigPublished, encode_record
from peridotrill.services import FILE_SUFFIX
from peridotrill.yaml_nodes import MAX_FILE_CHARACTERS

_MAX_BYTES_PER_CHARACTER: Final = 4
_PUBLISH_ID_BYTES: Final = 16


class ConfigState(Protocol):
    """The part of ``ControlState`` that publishing uses."""

    @property
    def catalog(self) -> Catalog:
        """Return the catalog of the current version."""

    @property
    def service_texts(self) -> Mapping[str, str]:
        """Return the texts of the current service files by service name."""

    @property
    def publish_results(self) -> Mapping[str, Any]:
        """Return ``PublishResult`` by publish id."""


class ConfigLog(RecordLog, Protocol):
    """The log and the state built from its records."""

    @property
    def state(self) -> ConfigState:
        """Return the state at the newest record that was read."""


class Change(NamedTuple):
    """Difference between a folder and the current configuration."""

    changed: dict[str, str]
    removed: tuple[str, ...]

    @property
    def is_empty(self) -> bool:
        """Return whether there is nothing to publish."""
        return not self.changed and not self.removed


class Accepted(NamedTuple):
    """The change was accepted as this version."""

    version: int
    change: Change


class Unchanged(NamedTuple):
    """The folder equals the current configuration; nothing was appended."""

    version: int


class LostRace(NamedTuple):
    """Others published after ``base_version``; the change has no effect."""

    base_version: int
    version: int
    services: tuple[str, ...]
    authors: tuple[str, ...]


class Rejected(NamedTuple):
    """The readers of the log found errors that local checks did not."""

    findings_count: int


class OutcomeUnknown(NamedTuple):
    """The append may still take effect; publishing again is safe."""

    publish_id: str
    base_version: int


PublishOutcome: TypeAlias = (
    Accepted | Unchanged | LostRace | Rejected | OutcomeUnknown
)


def load_folder(folder: Path) -> Result[dict[str, str], list[Finding]]:
    """Read and check all service files below a folder.

    :param folder: a folder without service files is reported as a finding,
        because publishing it would remove every service.
    :return: texts by service name, or the findings of all files.
    """
    service_texts, findings = _read_folder(folder)
    files, errors = parse_service_files(service_texts.items())
    findings.extend((*errors, *find_duplicates(files)))
    if not service_texts and not findings:
        message = f'there is no *{FILE_SUFFIX} below this folder'
        findings.append(Finding(_path_text(folder), 0, 0, 'no_files', message))
    if findings:
        return Error(sorted(findings))
    return Ok(
        {found.service.name: service_texts[found.place] for found in files}
    )


def compute_change(
    service_texts: dict[str, str], current: Mapping[str, str]
) -> Change:
    """Compare the files of a folder with the current configuration.

    :param service_texts: texts of the files by service name.
    """
    changed = {
        name: text
        for name, text in sorted(service_texts.items())
        if current.get(name) != text
    }
    return Change(changed, tuple(sorted(set(current) - set(service_texts))))


def _read_folder(folder: Path) -> tuple[dict[str, str], list[Finding]]:
    service_texts: dict[str, str] = {}
    findings: list[Finding] = []
    for path in sorted(folder.rglob(f'*{FILE_SUFFIX}')):
        match _read_text(path):
            case Result(tag='ok', ok=text):
                service_texts[_path_text(path)] = text
            case Result(error=finding):
                findings.append(finding)
    return service_texts, findings


def _path_text(path: Path) -> str:
    # File names may be invalid UTF-8, but findings must be valid.
    return str(path).encode('utf-8', 'backslashreplace').decode()


def _read_text(path: Path) -> Result[str, Finding]:
    place = _path_text(path)
    try:
        if not path.is_file():
            message = 'must be a regular file'
            return Error(Finding(place, 0, 0, 'unreadable', message))
        with path.open('rb') as stream:
            # A file with more bytes has more characters than the parser accepts.
            payload = stream.read(
                MAX_FILE_CHARACTERS * _MAX_BYTES_PER_CHARACTER + 1
            )
    except OSError as error:
        message = error.strerror or type(error).__name__
        return Error(Finding(place, 0, 0, 'unreadable', message))
    if len(payload) > MAX_FILE_CHARACTERS * _MAX_BYTES_PER_CHARACTER:
        message = f'longer than {MAX_FILE_CHARACTERS} characters'
        return Error(Finding(place, 1, 1, 'too_large', message))
    try:
        return Ok(payload.decode())
    except UnicodeDecodeError as error:
        lines = payload[: error.start].split(b'\n')
        column = len(lines[-1].decode()) + 1
        message = 'the file is not valid UTF-8'
        return Error(Finding(place, len(lines), column, 'encoding', message))


@final
class Publisher:
    """Publishes folders and polls the log for the outcome."""

    def __init__(self, log: ConfigLog, log_poller: LogPoller) -> None:
        """:param log_poller: polls the same log."""
        self._log = log
        self._log_poller = log_poller

    async def publish(
        self,
        service_texts: dict[str, str],
        author: str,
        base_version: int | None = None,
    ) -> PublishOutcome:
        """Publish the files of a folder.

        :param service_texts: texts of the checked files by service name.
        :param author: shown to operators whose concurrent change is refused.
        :param base_version: the version that the change is based on; the
            current one if None.
        :return: the outcome. Raises LogError if the log is unavailable and
            nothing was appended, RecordError if the change is too large for
            one record.
        """
        await self._log.refresh(timedelta(0))
        state = self._log.state
        current = state.catalog.version
        change = compute_change(service_texts, state.service_texts)
        # Checked before the base version, so that a publish that is repeated
        # after a lost response reports success.
        if change.is_empty:
            return Unchanged(current)
        if base_version not in {None, current}:
            return self._lost_race(base_version or 0)
        record = ConfigPublished(
            kind='config_published',
            publish_id=secrets.token_hex(_PUBLISH_ID_BYTES),
            base_version=current,
            changed=change.changed,
            removed=list(change.removed),
            author=author,
        )
        encode_record(record)
        with suppress(AppendOutcomeUnknown):
            await self._log.append(record)
        publish_id = record['publish_id']
        outcome: PublishOutcome | None = await self._log_poller.poll_until(
            lambda: self._find_outcome(publish_id, current, change),
        )
        if outcome is None:
            return OutcomeUnknown(publish_id, current)
        return outcome

    def _find_outcome(
        self,
        publish_id: str,
        base_version: int,
        change: Change,
    ) -> PublishOutcome | None:
        state = self._log.state
        result = state.publish_results.get(publish_id)
        if result is None:
            # Versions only increase: after another publish was accepted, a
            # record with this base version is refused whenever it arrives.
            is_outdated = state.catalog.version != base_version
            return self._lost_race(base_version) if is_outdated else None
        if result.accepted:
            return Accepted(result.version, change)
        if result.findings_count:
            return Rejected(result.findings_count)
        return self._lost_race(base_version)

    def _lost_race(self, base_version: int) -> LostRace:
        state = self._log.state
        later = [
            result
            for result in state.publish_results.values()
            if result.accepted and result.offset > base_version
        ]
        names = {name for result in later for name in result.changed}
        return LostRace(
            base_version=base_version,
            version=state.catalog.version,
            services=tuple(sorted(names)),
            authors=tuple(sorted({result.author for result in later})),
        )
