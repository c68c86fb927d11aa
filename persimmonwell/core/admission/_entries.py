"""What is queued: an entry of a workspace in a priority class."""

from collections.abc import Hashable
from typing import Any, Generic, Protocol, TypeVar

import attrs


class Ordered(Protocol):
    """Key of a priority class; the lower one is more urgent."""

    def __lt__(self, other: Any, /) -> bool:
        """Return whether this class is more urgent than the other."""


ClassT = TypeVar("ClassT", bound=Ordered)
IdT = TypeVar("IdT", bound=Hashable)


@attrs.frozen
class QueueEntry(Generic[ClassT, IdT]):
    """One queued request."""

    request_id: IdT
    workspace: str
    priority_class: ClassT
    cost_tokens: int
    """Estimated tokens, charged at dispatch and corrected on completion."""
    deadline_s: float
    precedence: tuple[float, ...] = ()
    """Sort key within the workspace; equal entries stay in the order of arrival."""
