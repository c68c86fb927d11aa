"""Validation of JSON documents that collects all faults with their paths."""

from collections.abc import Iterator, Mapping
from typing import TypeAlias

from persimmonwell._exceptions import DocumentError, Fault

JsonValue: TypeAlias = (
    "None | bool | int | float | str | list[JsonValue] | dict[str, JsonValue]"
)
JsonObject: TypeAlias = dict[str, JsonValue]


def escape_json_pointer(name: str) -> str:
    """Escape a field name for use in a JSON pointer (RFC 6901)."""
    return name.replace("~", "~0").replace("/", "~1")


class FaultList:
    """Faults collected while a document is read."""

    def __init__(self) -> None:
        self._faults: list[Fault] = []

    def add(self, path: str, reason: str) -> None:
        """Add one fault; the path is a JSON pointer."""
        self._faults.append(Fault(path=path or "/", reason=reason))

    def raise_if_any(self) -> None:
        """Raise DocumentError if there are any faults."""
        if self._faults:
            raise DocumentError(faults=tuple(self._faults))


class ObjectReader:
    """Reader of the fields of one JSON object, with type and range checks.

    Invalid fields are added to the fault list.
    report_unknown_fields() reports the fields that were never read.
    """

    def __init__(self, value: JsonValue, path: str, faults: FaultList) -> None:
        self._path = path
        self._faults = faults
        self._fields: Mapping[str, JsonValue] = {}
        self._read_names: set[str] = set()
        if isinstance(value, dict):
            self._fields = value
        else:
            faults.add(path, "must be an object")

    def pointer_to(self, name: str) -> str:
        """Return the JSON pointer of a field."""
        return f"{self._path}/{escape_json_pointer(name)}"

    def add_fault(self, name: str, reason: str) -> None:
        """Add a fault at a field."""
        self._faults.add(self.pointer_to(name), reason)

    def has(self, name: str) -> bool:
        """Return whether the field is present."""
        return name in self._fields

    def _read(self, name: str, required: bool) -> JsonValue:
        self._read_names.add(name)
        if name not in self._fields:
            if required:
                self.add_fault(name, "is required")
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
        value = self._read(name, required=default is None)
        if name not in self._fields:
            return default or ""
        if not isinstance(value, str) or not value:
            self.add_fault(name, "must be a non-empty string")
            return default or ""
        if len(value) > max_length:
            self.add_fault(name, f"must have at most {max_length} characters")
        if choices and value not in choices:
            self.add_fault(name, f"must be one of {', '.join(choices)}, got {value!r}")
        return value

    def optional_text(self, name: str) -> str | None:
        """Read a string that may be absent or null."""
        value = self._read(name, required=False)
        if value is None:
            return None
        if not isinstance(value, str) or not value:
            self.add_fault(name, "must be a non-empty string or null")
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
        """Read a number within a range; without a default the field is required."""
        value = self._read(name, required=default is None)
        if name not in self._fields:
            return default if default is not None else minimum
        if isinstance(value, bool) or not isinstance(value, int | float):
            self.add_fault(name, f"must be a number, got {value!r}")
            return default if default is not None else minimum
        if not minimum <= value <= maximum or (exclusive_minimum and value == minimum):
            bound = "above" if exclusive_minimum else "at least"
            self.add_fault(
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
        """Read an integer within a range; without a default the field is required."""
        value = self._read(name, required=default is None)
        if name not in self._fields:
            return default if default is not None else minimum
        if isinstance(value, bool) or not isinstance(value, int):
            self.add_fault(name, f"must be an integer, got {value!r}")
            return default if default is not None else minimum
        if not minimum <= value <= maximum:
            self.add_fault(
                name, f"must be between {minimum} and {maximum}, got {value}"
            )
        return value

    def boolean(self, name: str, default: bool) -> bool:
        """Read a boolean."""
        value = self._read(name, required=False)
        if name not in self._fields:
            return default
        if not isinstance(value, bool):
            self.add_fault(name, f"must be true or false, got {value!r}")
            return default
        return value

    def texts(self, name: str, default: tuple[str, ...] = ()) -> tuple[str, ...]:
        """Read a list of strings."""
        value = self._read(name, required=False)
        if name not in self._fields:
            return default
        if not isinstance(value, list) or not all(isinstance(v, str) for v in value):
            self.add_fault(name, "must be a list of strings")
            return default
        return tuple(str(v) for v in value)

    def child(self, name: str) -> "ObjectReader":
        """Return a reader of a nested object; an absent one reads as empty."""
        value = self._read(name, required=False)
        if name not in self._fields:
            value = {}
        return ObjectReader(value, self.pointer_to(name), self._faults)

    def children(self, name: str) -> Iterator[tuple[str, "ObjectReader"]]:
        """Yield each key of a nested object, sorted, with a reader of its value."""
        child = self.child(name)
        for key in sorted(child._fields):
            yield key, child.child(key)

    def report_unknown_fields(self) -> None:
        """Add a fault for every field that was never read."""
        for name in sorted(set(self._fields) - self._read_names):
            self.add_fault(name, "is not a known field")
