"""Publishing a folder of service files through the log."""

import secrets
from collections.abc import Mapping
from contextlib import suppress
from datetime import timedelta
from pathlib import Path
from typing import Any, Final, NamedTuple, Protocol, TypeAlias, final

from expression import Error, Ok, Result

from peridotrill.catalog import Catalog, cross_check, read_files
from peridotrill.exceptions import AppendOutcomeUnknown
from peridotrill.findings import Finding
from peridotrill.read_back import ReadBack, RecordLog
from peridotrill.records import ConfigPublished, encode_record
from peridotrill.services import FILE_SUFFIX
from peridotrill.yaml_nodes import MAX_FILE_CHARACTERS

_MAX_CHARACTER_BYTES: Final = 4
_PUBLISH_ID_BYTES: Final = 16


class ConfigState(Protocol):
    """What publishing needs of ``ControlState``."""

    @property
    def catalog(self) -> Catalog:
        """Return the catalog of the current version."""

    @property
    def texts(self) -> Mapping[str, str]:
        """Return the current service files by name of the service."""

    @property
    def publish_results(self) -> Mapping[str, Any]:
        """Return ``PublishResult`` by publish id."""


class ConfigLog(RecordLog, Protocol):
    """The log and the state that was folded from it."""

    @property
    def state(self) -> ConfigState:
        """Return the state at the newest record that was read."""


class Change(NamedTuple):
    """Difference between a folder and the current configuration."""

    changed: dict[str, str]
    removed: tuple[str, ...]

    @property
    def is_empty(self) -> bool:
        """Tell whether there is nothing to publish."""
        return not self.changed and not self.removed


class Accepted(NamedTuple):
    """The folder is the configuration of this version."""

    version: int
    change: Change


class Unchanged(NamedTuple):
    """The folder is already the configuration; nothing was appended."""

    version: int


class LostRace(NamedTuple):
    """Others published after ``base_version``; this change has no effect."""

    base_version: int
    version: int
    services: tuple[str, ...]
    authors: tuple[str, ...]


class Rejected(NamedTuple):
    """The readers of the log found faults that this program did not."""

    findings_count: int


class OutcomeUnknown(NamedTuple):
    """The append may still take effect; publishing again is safe."""

    publish_id: str
    base_version: int


Outcome: TypeAlias = Accepted | Unchanged | LostRace | Rejected | OutcomeUnknown


def load_folder(folder: Path) -> Result[dict[str, str], list[Finding]]:
    """Read and check all service files below a folder.

    :param folder: a folder without service files is a finding, because
        publishing it would remove every service.
    :return: text by name of the service, or all findings of all files.
    """
    texts, findings = _collect(folder)
    files, errors = read_files(texts.items())
    findings.extend((*errors, *cross_check(files)))
    if not texts and not findings:
        message = f'there is no *{FILE_SUFFIX} below this folder'
        findings.append(Finding(_place(folder), 0, 0, 'no_files', message))
    if findings:
        return Error(sorted(findings))
    return Ok({found.service.name: texts[found.place] for found in files})


def compute_change(texts: dict[str, str], current: Mapping[str, str]) -> Change:
    """Compare the files of a folder with the current ones.

    :param texts: text by name of the service.
    """
    changed = {
        name: text
        for name, text in sorted(texts.items())
        if current.get(name) != text
    }
    return Change(changed, tuple(sorted(set(current) - set(texts))))


def _collect(folder: Path) -> tuple[dict[str, str], list[Finding]]:
    texts: dict[str, str] = {}
    findings: list[Finding] = []
    for path in sorted(folder.rglob(f'*{FILE_SUFFIX}')):
        match _read_text(path):
            case Result(tag='ok', ok=text):
                texts[_place(path)] = text
            case Result(error=finding):
                findings.append(finding)
    return texts, findings


def _place(path: Path) -> str:
    # Names of files need not be UTF-8; findings are.
    return str(path).encode('utf-8', 'backslashreplace').decode()


def _read_text(path: Path) -> Result[str, Finding]:
    place = _place(path)
    try:
        if not path.is_file():
            message = 'must be a regular file'
            return Error(Finding(place, 0, 0, 'unreadable', message))
        with path.open('rb') as stream:
            # A longer file has more characters than a parser accepts.
            payload = stream.read(
                MAX_FILE_CHARACTERS * _MAX_CHARACTER_BYTES + 1
            )
    except OSError as error:
        message = error.strerror or type(error).__name__
        return Error(Finding(place, 0, 0, 'unreadable', message))
    if len(payload) > MAX_FILE_CHARACTERS * _MAX_CHARACTER_BYTES:
        message = f'longer than {MAX_FILE_CHARACTERS} characters'
        return Error(Finding(place, 1, 1, 'too_large', message))
    try:
        return Ok(payload.decode())
    except UnicodeDecodeError as error:
        lines = payload[: error.start].split(b'\n')
        column = len(lines[-1].decode()) + 1
        message = 'the text is not UTF-8'
        return Error(Finding(place, len(lines), column, 'encoding', message))


@final
class Publisher:
    """Publishes folders and reads back what became of them."""

    def __init__(self, log: ConfigLog, read_back: ReadBack) -> None:
        """:param read_back: reads the same log."""
        self._log = log
        self._read_back = read_back

    async def publish(
        self,
        texts: dict[str, str],
        author: str,
        base_version: int | None = None,
    ) -> Outcome:
        """Publish the files of a folder.

        :param texts: checked files by name of the service.
        :param author: shown to operators that lose the race.
        :param base_version: the version that the operator has seen; the
            current one if None.
        :return: what became of it. Raises LogError if the log cannot be
            reached; nothing was appended then. Raises RecordError if the
            change is too large for one record.
        """
        await self._log.refresh(timedelta(0))
        state = self._log.state
        current = state.catalog.version
        change = compute_change(texts, state.texts)
        # Comes first, so that repeating a publish whose answer was lost
        # reports success.
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
        outcome: Outcome | None = await self._read_back.until(
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
    ) -> Outcome | None:
        state = self._log.state
        result = state.publish_results.get(publish_id)
        if result is None:
            # Versions only increase: once another publish was accepted, a
            # record with this base loses whenever it arrives.
            moved = state.catalog.version != base_version
            return self._lost_race(base_version) if moved else None
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
