"""Exception hierarchy of peridotrill."""


class PeridotrillError(Exception):
    """Base class of all exceptions of this package."""


class SettingsError(PeridotrillError):
    """The settings of a program are invalid."""


class ServiceFileError(PeridotrillError):
    """A service file does not describe a valid service."""


class CodecError(PeridotrillError):
    """Bytes from a peer, the log or a file could not be decoded."""


class MessageError(CodecError):
    """A message between processes is malformed or too large."""


class RecordError(CodecError):
    """A record of the log is malformed or of an unknown kind."""


class StateChartError(PeridotrillError):
    """A state chart is inconsistent, or does not have a given state."""


class InvalidTransition(PeridotrillError):
    """An event is not allowed in the current state of a state machine."""


class LogError(PeridotrillError):
    """A call to the append-only log failed."""


class LogUnavailable(LogError):
    """The log could not be reached; nothing was appended."""


class AppendOutcomeUnknown(LogError):
    """The response to an append was lost; it may have taken effect."""


class RecordsExpired(LogError):
    """The records at the requested offset are no longer in the log."""

    def __init__(self, message: str, first_kept: int | None = None) -> None:
        """:param first_kept: offset of the oldest record in the log."""
        super().__init__(message)
        self.first_kept = first_kept


class StoreRestored(LogError):
    """The store was restored from an older copy.

    Offsets that were read before belong to records that may be lost, and are
    given out again.
    """

    def __init__(self, message: str, generation: int) -> None:
        """:param generation: current generation of the store."""
        super().__init__(message)
        self.generation = generation


class LinkError(PeridotrillError):
    """A connection between an entry and an agent failed."""


class LinkClosed(LinkError):
    """The connection was closed."""


class TargetError(PeridotrillError):
    """A call to a target failed."""


class TargetUnreachable(TargetError):
    """No connection to the target could be opened; nothing was sent."""


class ConnectionsExhausted(TargetUnreachable):
    """This process can open no more connections, to any target."""


class TargetRefused(TargetUnreachable):
    """The address of the target refuses connections: no process listens."""


class TargetReplaced(TargetUnreachable):
    """Another process than the registered one answers; nothing was sent."""


class TargetUnidentified(TargetUnreachable):
    """The target answers, but does not tell which process it is."""


class TargetOutcomeUnknown(TargetError):
    """The call may have run at the target; its response was lost."""


class EndUnconfirmed(TargetOutcomeUnknown):
    """A stream without length ended; another target may know more of it."""


class ResponseExcessive(TargetOutcomeUnknown):
    """The target sends more than a response may need."""


class TargetTimeout(TargetOutcomeUnknown):
    """The target did not respond within the expected time."""
