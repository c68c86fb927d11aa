"""Serve the configuration to operators and take their patches."""

import uuid
from typing import Any

import attrs

from persimmonwell._exceptions import BadRequestError, PlatformUnavailableError
from persimmonwell.core import Outcome
from persimmonwell.core.config import Accepted, Conflict, Invalid
from persimmonwell.core.control import Control, PatchSubmitted
from persimmonwell.daemon._config_history import ConfigHistory, PatchSummary
from persimmonwell.daemon._control_actor import ControlPort
from persimmonwell.daemon._operator_routes import Route, read_object
from persimmonwell.front import HttpRequest, HttpResponse, error_response, json_response

PATCH_TIMEOUT_S = 5.0


def config_routes(
    *, host_id: str, control: ControlPort, history: ConfigHistory
) -> tuple[Route, ...]:
    """Return the routes of the configuration."""

    def show(http: HttpRequest) -> HttpResponse:
        def read(state: Control) -> dict[str, Any]:
            fold = state.config_fold
            return {
                "host": host_id,
                "version": fold.version,
                "next_offset": fold.next_offset,
                "document": fold.document,
            }

        return json_response(control.inspect(read))

    def apply(http: HttpRequest) -> HttpResponse:
        patch = read_patch(http.body)
        settled = control.submit_patch(patch, timeout_s=PATCH_TIMEOUT_S)
        if settled is None:
            reason = f"patch {patch.patch_id} may or may not take effect"
            error = PlatformUnavailableError("log", reason)
            return error_response(error, Outcome.MAY_HAVE_RUN)
        if settled.error is not None:
            return error_response(settled.error, Outcome.NOT_RUN)
        return json_response({"id": patch.patch_id, "version": settled.version})

    def show_history(http: HttpRequest) -> HttpResponse:
        def read(state: Control) -> list[dict[str, Any]]:
            results = state.config_fold.result_of
            return [
                _history_entry(patch, results(patch.patch_id))
                for patch in history.patches()
            ]

        return json_response({"host": host_id, "patches": control.inspect(read)})

    return (
        Route("GET", "/config", show),
        Route("POST", "/config", apply),
        Route("GET", "/config/history", show_history),
    )


def _history_entry(
    patch: PatchSummary, result: Accepted | Conflict | Invalid | None
) -> dict[str, Any]:
    entry = {**attrs.asdict(patch), "result": "not folded", "version": None}
    match result:
        case Accepted(_, version):
            return {**entry, "result": "accepted", "version": version}
        case Conflict(_, _, current):
            return {**entry, "result": f"conflict with version {current}"}
        case Invalid(_, faults):
            reasons = "; ".join(f"{fault.path}: {fault.reason}" for fault in faults)
            return {**entry, "result": f"invalid: {reasons}"}
        case None:
            return entry


def read_patch(body: bytes) -> PatchSubmitted:
    """Read an operator's patch; raise BadRequestError."""
    document = read_object(body)
    base, merge = document.get("base_version"), document.get("merge")
    if isinstance(base, bool) or not isinstance(base, int):
        raise BadRequestError("base_version", "must be an integer")
    if not isinstance(merge, dict):
        raise BadRequestError("merge", "must be an object")
    patch_id = document.get("id", uuid.uuid4().hex)
    if not isinstance(patch_id, str) or not patch_id:
        raise BadRequestError("id", "must be a non-empty string")
    author = document.get("author", "")
    if not isinstance(author, str):
        raise BadRequestError("author", "must be a string")
    return PatchSubmitted(patch_id, base, merge, author)
