"""Watch the tasks that a process cannot do without."""

import asyncio
import logging
from collections.abc import Coroutine
from typing import Any

__all__ = ["FAILED_TASK_EXIT_CODE", "start_essential_task"]

logger = logging.getLogger(__name__)

FAILED_TASK_EXIT_CODE = 70


def start_essential_task(coroutine: Coroutine[Any, Any, None]) -> "asyncio.Task[None]":
    """Start a task whose failure ends the process, which the platform then restarts.

    A process that went on without it would keep holds from being renewed, or ranges from getting
    an owner, for as long as it runs.
    """
    task = asyncio.get_running_loop().create_task(coroutine)
    task.add_done_callback(_exit_on_failure)
    return task


def _exit_on_failure(task: "asyncio.Task[None]") -> None:
    if task.cancelled() or task.exception() is None:
        return
    logger.critical("an essential task failed; exiting", exc_info=task.exception())
    raise SystemExit(FAILED_TASK_EXIT_CODE) from task.exception()
