"""Executor whose number of threads follows the work in progress."""

import collections
from collections.abc import Callable
from concurrent import futures
import dataclasses
import queue
import threading
from typing import Any

from cardamomdeal.internal import clock


@dataclasses.dataclass(frozen=True, slots=True)
class PoolSettings:
    """Limits of a pool of threads."""

    name: str
    max_threads: int
    # Tasks that wait for a thread while all of them are busy.
    max_queued: int
    # A thread without work ends after this time.
    idle_timeout_ms: int = 5_000


@dataclasses.dataclass(frozen=True, slots=True)
class _Task:
    """Function to call in a thread of the pool, and its future."""

    future: futures.Future[Any]
    function: Callable[[], Any]

    def run(self) -> None:
        """Call the function and set the result of the future."""
        if not self.future.set_running_or_notify_cancel():
            return
        try:
            result = self.function()
        except BaseException as error:
            self.future.set_exception(error)
        else:
            self.future.set_result(result)


class ElasticThreadPool(futures.Executor):
    """Executor that starts a thread for a task unless one is idle.

    An entry host serves a few requests per second, but must serve all those
    of hosts that are down. Threads that only wait cost memory and starting
    time on every host, and the number of threads of a machine is limited.
    """

    def __init__(self, settings: PoolSettings) -> None:
        self._settings = settings
        self._tasks: collections.deque[_Task] = collections.deque()
        self._changed = threading.Condition()
        self._idle_count = 0
        # Threads that were started and have not taken their first task.
        self._starting_count = 0
        self._threads: set[threading.Thread] = set()
        self._is_shut_down = False

    def submit(
        self, fn: Callable[..., Any], /, *args: Any, **kwargs: Any
    ) -> futures.Future[Any]:
        """Queue a call; raise queue.Full if too many are waiting."""
        future: futures.Future[Any] = futures.Future()
        with self._changed:
            if self._is_shut_down:
                raise RuntimeError('the pool is shut down')
            self._tasks.append(_Task(future, lambda: fn(*args, **kwargs)))
            if len(self._tasks) <= self._idle_count + self._starting_count:
                self._changed.notify()
            elif not self._start_thread() and self._is_overfull():
                self._tasks.pop()
                raise queue.Full
        return future

    def shutdown(
        self,
        wait: bool = True,
        *,
        cancel_futures: bool = False,
        timeout_ms: int | None = None,
    ) -> None:
        """Accept no more calls; wait until those accepted have ended."""
        with self._changed:
            self._is_shut_down = True
            if cancel_futures:
                for task in self._tasks:
                    task.future.cancel()
            self._changed.notify_all()
            threads = list(self._threads)
        if not wait:
            return
        time = clock.Clock()
        end_ms = time.now_ms() + timeout_ms if timeout_ms else None
        for thread in threads:
            if thread is not threading.current_thread():
                thread.join(end_ms and max(0, end_ms - time.now_ms()) / 1_000)

    def _is_overfull(self) -> bool:
        free = self._idle_count + self._starting_count
        waiting = len(self._tasks) - free
        return not self._threads or waiting > self._settings.max_queued

    def _start_thread(self) -> bool:
        if len(self._threads) >= self._settings.max_threads:
            return False
        thread = threading.Thread(
            target=self._run_tasks, name=self._settings.name, daemon=True
        )
        self._threads.add(thread)
        self._starting_count += 1
        try:
            thread.start()
        except RuntimeError:
            # The machine has no room for more threads.
            self._threads.discard(thread)
            self._starting_count -= 1
            return False
        return True

    def _run_tasks(self) -> None:
        task = self._next_task(is_first=True)
        while task is not None:
            task.run()
            task = self._next_task()

    def _next_task(self, is_first: bool = False) -> _Task | None:
        """Return the next task, or None if the thread should end."""
        with self._changed:
            self._starting_count -= is_first
            if not self._tasks and not self._is_shut_down:
                self._idle_count += 1
                self._changed.wait(self._settings.idle_timeout_ms / 1_000)
                self._idle_count -= 1
            if self._tasks:
                return self._tasks.popleft()
            self._threads.discard(threading.current_thread())
            return None
