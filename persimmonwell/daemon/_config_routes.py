"""Operator routes that show the fleet configuration and accept patches to it."""

import uuid
from typing import Any

from persimmonwell._exceptions import BadRequestError, PlatformUnavailableError
from persimmonwell.core import Outcome
from persimmonwell.core.config import entry_to_json
from persimmonwell.core.control import ControlState, PatchSubmitted
from persimmonwell.daemon._control_actor import ControlPort
from persimmonwell.daemon._operator_routes import Route, parse_json_object
from persimmonwell.front import HttpRequest, HttpResponse, error_response, json_response

PATCH_TIMEOUT_S = 5.0


def config_routes(*, host_id: str, control: ControlPort) -> tuple[Route, ...]:
    """Return the routes of the configuration and of its history."""

    def show_config(http: HttpRequest) -> HttpResponse:
        def read(state: ControlState) -> dict[str, Any]:
            return {
                "host": host_id,
                "version": state.config.version,
                "next_offset": state.config_fold.next_offset,
                "document": state.config_document,
                "in_force": {h.host_id: h.version for h in state.host_versions},
            }

        return json_response(control.inspect(read))

    def apply_patch(http: HttpRequest) -> HttpResponse:
        patch = parse_patch(http.body)
        completed = control.submit_patch(patch, timeout_s=PATCH_TIMEOUT_S)
        if completed is None:
            reason = f"patch {patch.patch_id} may or may not take effect"
            error = PlatformUnavailableError("log", reason)
            return error_response(error, Outcome.MAY_HAVE_RUN)
        if completed.error is not None:
            return error_response(completed.error, Outcome.NOT_RUN)
        return json_response({"id": patch.patch_id, "version": completed.version})

    def show_history(http: HttpRequest) -> HttpResponse:
        entries = control.inspect(lambda state: state.history)
        patches = [entry_to_json(entry) for entry in entries]
        return json_response({"host": host_id, "patches": patches})

    return (
        Route("GET", "/config", show_config),
        Route("POST", "/config", apply_patch),
        Route("GET", "/config/history", show_history),
    )


def parse_patch(body: bytes) -> PatchSubmitted:
    """Parse an operator's patch; raise BadRequestError for an invalid field."""
    document = parse_json_object(body)
    base_version, merge = document.get("base_version"), document.get("merge")
    if isinstance(base_version, bool) or not isinstance(base_version, int):
        raise BadRequestError("base_version", "must be an integer")
    if not isinstance(merge, dict):
        raise BadRequestError("merge", "must be an object")
    patch_id = document.get("id", uuid.uuid4().hex)
    if not isinstance(patch_id, str) or not patch_id:
        raise BadRequestError("id", "must be a non-empty string")
    author = document.get("author", "")
    if not isinstance(author, str):
        raise BadRequestError("author", "must be a string")
    return PatchSubmitted(patch_id, base_version, merge, author)
