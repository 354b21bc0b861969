"""Tasks whose errors end neither the other tasks nor the process."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, final

from anyio.abc import TaskGroup

from peridotrill.gateway.event_log import EventSink


@final
class IsolatedTasks:
    """Starts tasks in a group that ends with its own tasks only.

    A task that ends with a cancellation of its own would cancel the whole group.
    """

    def __init__(self, tasks: TaskGroup, log: EventSink) -> None:
        """:param tasks: group in which the tasks run."""
        self._tasks = tasks
        self._log = log

    @property
    def is_ending(self) -> bool:
        """Whether all tasks of the group are cancelled."""
        return self._tasks.cancel_scope.cancel_called

    def start_soon(
        self,
        task: Callable[..., Coroutine[Any, Any, None]],
        *arguments: Any,
    ) -> None:
        """Start a task; its errors are logged."""
        self._tasks.start_soon(self._run, task, arguments)

    async def _run(
        self,
        task: Callable[..., Coroutine[Any, Any, None]],
        arguments: tuple[Any, ...],
    ) -> None:
        try:
            await task(*arguments)
        except Exception as error:  # noqa: BLE001
            self._log.write_exception('task_fault', error)
        except asyncio.CancelledError as error:
            if self.is_ending:
                raise
            self._log.write_exception('task_cancelled', error)
