"""The exceptions that peridotrill raises, in one tree."""


class PeridotrillError(Exception):
    """Base class of all errors of this package."""


class SettingsError(PeridotrillError):
    """A program was started with settings that cannot be used."""


class ServiceFileError(PeridotrillError):
    """A service file does not describe a valid service."""


class CodecError(PeridotrillError):
    """Bytes from a peer, the log or a file could not be decoded."""


class MessageError(CodecError):
    """A message between processes is malformed or too large."""


class RecordError(CodecError):
    """A record of the log is malformed or of an unknown kind."""


class StateChartError(PeridotrillError):
    """A state chart file is not consistent."""


class InvalidTransition(PeridotrillError):
    """An event is not allowed in the current state."""


class LogError(PeridotrillError):
    """The append-only log did not carry out a call."""


class LogUnavailable(LogError):
    """The log could not be reached; nothing was appended."""


class AppendOutcomeUnknown(LogError):
    """The answer to an append was lost; it may have taken effect."""


class RecordsExpired(LogError):
    """The requested offset is older than the retention of the log."""

    def __init__(self, message: str, first_kept: int | None = None) -> None:
        """:param first_kept: offset of the oldest record that is kept."""
        super().__init__(message)
        self.first_kept = first_kept


class LinkError(PeridotrillError):
    """A connection between an entry and an agent failed."""


class LinkClosed(LinkError):
    """The connection was closed or retired."""


class TargetError(PeridotrillError):
    """A target did not carry out a call."""


class TargetUnreachable(TargetError):
    """No connection to the target could be made; nothing was sent."""


class TargetOutcomeUnknown(TargetError):
    """The call may have run at the target; its answer was lost."""


class TargetTimeout(TargetOutcomeUnknown):
    """The target has not answered for longer than expected."""
