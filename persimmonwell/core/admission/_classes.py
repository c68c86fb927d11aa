"""Fair queues of priority classes, which are created on demand."""

from bisect import insort
from collections.abc import Iterator
from typing import Generic

from persimmonwell.core.admission._entries import ClassT, IdT, QueueEntry
from persimmonwell.core.admission._fair import FairQueue
from persimmonwell.core.admission._floors import ClassFloors


class ClassQueues(Generic[ClassT, IdT]):
    """One fair queue for each priority class, with floors between them."""

    def __init__(
        self, floors: ClassFloors[ClassT], *, memory_s: float | None = None
    ) -> None:
        self.floors = floors
        self._memory_s = memory_s
        self._queues: dict[ClassT, FairQueue[ClassT, IdT]] = {}
        self._classes: list[ClassT] = []
        """Keys of the queues, the most urgent first."""

    def __len__(self) -> int:
        """Return the number of queued entries of all classes."""
        return sum(len(queue) for queue in self._queues.values())

    def __getitem__(self, key: ClassT) -> FairQueue[ClassT, IdT]:
        """Return the queue of a class."""
        queue = self._queues.get(key)
        if queue is None:
            queue = self._queues[key] = FairQueue(memory_s=self._memory_s)
            insort(self._classes, key)
        return queue

    def items(self) -> Iterator[tuple[ClassT, FairQueue[ClassT, IdT]]]:
        """Iterate over the classes so far, the most urgent first."""
        return iter([(key, self._queues[key]) for key in self._classes])

    def backlogged(self) -> list[ClassT]:
        """Return the classes with queued entries, the most urgent first."""
        return [key for key in self._classes if len(self._queues[key])]

    def count_ahead(self, entry: QueueEntry[ClassT, IdT]) -> int:
        """Estimate how many entries are dispatched before one, queued or not.

        It is 0 only if there are none. Floors are left out.
        """
        ahead = self[entry.priority_class].count_ahead(entry)
        for key in self._classes:
            if not key < entry.priority_class:
                break
            ahead += len(self._queues[key])
        return ahead

    def in_order(
        self, closed: set[ClassT] | None = None
    ) -> Iterator[QueueEntry[ClassT, IdT]]:
        """Yield entries in dispatch order while the caller may dispatch them.

        One that stays queued is passed over; see FairQueue.in_order. The order of the
        classes follows each dispatch. Classes in closed, to which the caller may add,
        are left out.
        """
        left_out = set[ClassT]() if closed is None else closed
        started: dict[ClassT, Iterator[QueueEntry[ClassT, IdT]]] = {}
        while True:
            for key in self.floors.service_order(self.backlogged(), self._next_cost):
                if key in left_out:
                    continue
                entries = started.get(key)
                if entries is None:
                    entries = started[key] = self._queues[key].in_order()
                entry = next(entries, None)
                if entry is None:
                    left_out.add(key)
                    continue
                yield entry
                break
            else:
                return

    def _next_cost(self, key: ClassT) -> int:
        head = self._queues[key].head()
        return 0 if head is None else head.cost_tokens
