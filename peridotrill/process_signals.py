"""Signals of a program, from its first line until its process is gone.

The receivers of signals in event loops restore the default action, which ends
the process, as soon as they are left. Here, a handler stays until the end and
only records the signal; a ``SignalReceiver`` delivers what was recorded.
"""

import atexit
import os
import signal
import time
from collections.abc import Callable
from importlib import import_module
from types import FrameType
from typing import Any, Final, NamedTuple, Self, final

_RECORDED_SIGNALS: Final = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
# No program uses them, and their default action would end the process.
_IGNORED_SIGNALS: Final = (
    signal.SIGQUIT,
    signal.SIGUSR1,
    signal.SIGUSR2,
    signal.SIGALRM,
)
_MAX_WAKE_UP_BYTES: Final = 4096


class ReceivedSignal(NamedTuple):
    """A signal; it may have come long before a receiver delivers it."""

    number: signal.Signals
    received_s: float

    def age_s(self) -> float:
        """Return the time since the signal came."""
        return time.monotonic() - self.received_s


# Times of the signals that wait, by number, in the order in which they came. A
# handler may run between any two bytecodes, also of another handler, so each
# access is one operation without Python code.
_recorded: Final[dict[int, float]] = {}
_wake_ups: Final[list[Callable[[], Any]]] = []


def install() -> None:
    """Record SIGTERM, SIGINT and SIGHUP from now on; ignore the others.

    A program calls it in its main thread, before it imports the modules that
    take long. Signals of that time are delivered once a receiver exists.
    """
    for ignored in _IGNORED_SIGNALS:
        signal.signal(ignored, signal.SIG_IGN)
    for number in _RECORDED_SIGNALS:
        signal.signal(number, _record)
    # The interpreter restores the default actions of signals that have a
    # handler while it ends, but not those of ignored signals.
    atexit.register(_ignore_recorded_signals)


@final
class SignalReceiver:
    """Delivers recorded signals to a task; a context manager.

    It works with the event loops of asyncio and uvloop. There is one receiver
    at a time. Signals that no receiver has delivered stay recorded.
    """

    def __init__(self) -> None:
        """Initialize a receiver for the running event loop."""
        # Imported here because it takes longer than all that runs before
        # ``install``; until then, a signal has its default action.
        asyncio = import_module('asyncio')
        self._loop = asyncio.get_running_loop()
        self._changed = asyncio.Event()
        self._reading_fd, self._writing_fd = os.pipe2(
            os.O_NONBLOCK | os.O_CLOEXEC
        )
        self._previous_fd = -1

    def __enter__(self) -> Self:
        """Start to wake up the event loop."""
        self._loop.add_reader(self._reading_fd, self._read_wake_up)
        # A signal may reach a thread of a library; without the descriptor,
        # the event loop of the main thread would go on sleeping.
        self._previous_fd = signal.set_wakeup_fd(
            self._writing_fd,
            warn_on_full_buffer=False,
        )
        _wake_ups.append(self._wake_up)
        return self

    def __exit__(self, *_: object) -> None:
        """Stop waking up the event loop; the handlers stay."""
        _wake_ups.remove(self._wake_up)
        signal.set_wakeup_fd(self._previous_fd, warn_on_full_buffer=False)
        self._loop.remove_reader(self._reading_fd)
        os.close(self._reading_fd)
        os.close(self._writing_fd)

    async def wait(self) -> ReceivedSignal:
        """Wait for the next signal, in the order in which they came."""
        while not _recorded:
            self._changed.clear()
            await self._changed.wait()
        number = tuple(_recorded)[0]
        return ReceivedSignal(signal.Signals(number), _recorded.pop(number))

    def _wake_up(self) -> None:
        self._loop.call_soon_threadsafe(self._changed.set)

    def _read_wake_up(self) -> None:
        try:
            os.read(self._reading_fd, _MAX_WAKE_UP_BYTES)
        except BlockingIOError:
            return


def _record(number: int, _frame: FrameType | None) -> None:
    # As in the kernel, a signal that waits already is not counted twice.
    _recorded.setdefault(number, time.monotonic())
    for wake_up in _wake_ups:
        wake_up()


def _ignore_recorded_signals() -> None:
    for number in _RECORDED_SIGNALS:
        signal.signal(number, signal.SIG_IGN)
