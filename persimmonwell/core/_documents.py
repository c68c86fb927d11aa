"""Check JSON documents and collect every fault with its path."""

from collections.abc import Iterator, Mapping
from typing import TypeAlias

from persimmonwell._exceptions import DocumentError, Fault

JsonValue: TypeAlias = (
    "None | bool | int | float | str | list[JsonValue] | dict[str, JsonValue]"
)
JsonObject: TypeAlias = dict[str, JsonValue]


def escape_pointer(name: str) -> str:
    """Escape one name for use in a JSON pointer."""
    return name.replace("~", "~0").replace("/", "~1")


class FaultList:
    """Collect faults while a document is read."""

    def __init__(self) -> None:
        self._faults: list[Fault] = []

    def add(self, path: str, reason: str) -> None:
        """Record one fault."""
        self._faults.append(Fault(path=path or "/", reason=reason))

    def raise_if_any(self) -> None:
        """Raise DocumentError when at least one fault was recorded."""
        if self._faults:
            raise DocumentError(faults=tuple(self._faults))


class ObjectReader:
    """Read the fields of one JSON object with type and range checks.

    Every field that was not read is reported as unknown by finish().
    """

    def __init__(self, value: JsonValue, path: str, faults: FaultList) -> None:
        self._path = path
        self._faults = faults
        self._fields: Mapping[str, JsonValue] = {}
        self._seen: set[str] = set()
        if isinstance(value, dict):
            self._fields = value
        else:
            faults.add(path, "must be an object")

    def path_of(self, name: str) -> str:
        """Return the JSON pointer of a field."""
        return f"{self._path}/{escape_pointer(name)}"

    def fault(self, name: str, reason: str) -> None:
        """Record a fault at a field."""
        self._faults.add(self.path_of(name), reason)

    def has(self, name: str) -> bool:
        """Return whether the field is present."""
        return name in self._fields

    def _take(self, name: str, required: bool) -> JsonValue:
        self._seen.add(name)
        if name not in self._fields:
            if required:
                self.fault(name, "is required")
            return None
        return self._fields[name]

    def text(
        self,
        name: str,
        default: str | None = None,
        *,
        choices: tuple[str, ...] = (),
        max_length: int = 4096,
    ) -> str:
        """Read a non-empty string; without a default the field is required."""
        value = self._take(name, required=default is None)
        if name not in self._fields:
            return default or ""
        if not isinstance(value, str) or not value:
            self.fault(name, "must be a non-empty string")
            return default or ""
        if len(value) > max_length:
            self.fault(name, f"must have at most {max_length} characters")
        if choices and value not in choices:
            self.fault(name, f"must be one of {', '.join(choices)}, got {value!r}")
        return value

    def optional_text(self, name: str) -> str | None:
        """Read a string that may be absent or null."""
        value = self._take(name, required=False)
        if value is None:
            return None
        if not isinstance(value, str) or not value:
            self.fault(name, "must be a non-empty string or null")
            return None
        return value

    def number(
        self,
        name: str,
        default: float | None = None,
        *,
        minimum: float = 0.0,
        maximum: float = 1e15,
        exclusive_minimum: bool = False,
    ) -> float:
        """Read a number within a range; without a default it is required."""
        value = self._take(name, required=default is None)
        if name not in self._fields:
            return default if default is not None else minimum
        if isinstance(value, bool) or not isinstance(value, int | float):
            self.fault(name, f"must be a number, got {value!r}")
            return default if default is not None else minimum
        if not minimum <= value <= maximum or (exclusive_minimum and value == minimum):
            bound = "above" if exclusive_minimum else "at least"
            self.fault(
                name,
                f"must be {bound} {minimum:g} and at most {maximum:g}, got {value!r}",
            )
        return float(value)

    def integer(
        self,
        name: str,
        default: int | None = None,
        *,
        minimum: int = 0,
        maximum: int = 10**15,
    ) -> int:
        """Read an integer within a range; without a default it is required."""
        value = self._take(name, required=default is None)
        if name not in self._fields:
            return default if default is not None else minimum
        if isinstance(value, bool) or not isinstance(value, int):
            self.fault(name, f"must be an integer, got {value!r}")
            return default if default is not None else minimum
        if not minimum <= value <= maximum:
            self.fault(name, f"must be between {minimum} and {maximum}, got {value}")
        return value

    def boolean(self, name: str, default: bool) -> bool:
        """Read a boolean."""
        value = self._take(name, required=False)
        if name not in self._fields:
            return default
        if not isinstance(value, bool):
            self.fault(name, f"must be true or false, got {value!r}")
            return default
        return value

    def texts(self, name: str, default: tuple[str, ...] = ()) -> tuple[str, ...]:
        """Read a list of strings."""
        value = self._take(name, required=False)
        if name not in self._fields:
            return default
        if not isinstance(value, list) or not all(isinstance(v, str) for v in value):
            self.fault(name, "must be a list of strings")
            return default
        return tuple(str(v) for v in value)

    def child(self, name: str) -> "ObjectReader":
        """Return a reader of a nested object; an absent one reads as empty."""
        value = self._take(name, required=False)
        if name not in self._fields:
            value = {}
        return ObjectReader(value, self.path_of(name), self._faults)

    def children(self, name: str) -> Iterator[tuple[str, "ObjectReader"]]:
        """Yield a reader for each member of a nested object, by sorted key."""
        child = self.child(name)
        for key in sorted(child._fields):
            yield key, child.child(key)

    def finish(self) -> None:
        """Report every field that was never read."""
        for name in sorted(set(self._fields) - self._seen):
            self.fault(name, "is not a known field")
