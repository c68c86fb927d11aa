"""Command that sends one model request to a callers' port."""

import json
import queue
import sys
import threading
import time
from collections.abc import Iterator
from typing import Any, ClassVar

import attrs
import urllib3
from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from persimmonwell.cli._base import ToolCommand, help_text
from persimmonwell.cli._client import UnreachableError, describe_error
from persimmonwell.cli._exits import (
    EXIT_OK,
    EXIT_PARTIAL,
    EXIT_REFUSED,
    exit_status_for,
)
from persimmonwell.cli._options import (
    UsageError,
    address_option,
    ca_file,
    call_options,
    integer_option,
    seconds_option,
    text_option,
)
from persimmonwell.core import Outcome, Rank

DEFAULT_CALLER_ADDRESS = "127.0.0.1:7000"
MAX_DEADLINE_MS = 86_400_000


@attrs.frozen
class OutgoingRequest:
    """HTTP request to a callers' port."""

    url: str
    ca_file: str | None
    headers: dict[str, str]
    body: str
    timeout_s: float


@attrs.frozen
class TextChunk:
    """Part of the answer's text."""

    text: str


@attrs.frozen
class AnswerEnd:
    """Outcome of a request, or the error that ended it."""

    status: int
    outcome: str
    request_id: str
    error: str = ""


class SendCommand(ToolCommand):
    """Command that sends one request and prints its tokens and outcome."""

    name = "send"
    description = "Send one model request through a callers' port."
    help = help_text(
        "Print the tokens as they arrive, then outcome, request id and times on\n"
        "standard error. Status 0 means complete, 1 refused and not run, 5 broken\n"
        "off: the request may have run.",
        'send "Shots drift left; what first?" --model coach --workspace range-a',
        "send - --model coach --workspace range-a --rank urgent --json",
    )
    arguments: ClassVar[list[Argument]] = [
        argument("prompt", "Text of the prompt; - reads standard input.")
    ]
    options: ClassVar[list[Option]] = [
        option(
            "to",
            None,
            f"Callers' address. Default: {DEFAULT_CALLER_ADDRESS}.",
            flag=False,
        ),
        option("model", None, "Model to run; required.", flag=False),
        option("workspace", None, "Workspace to send as; required.", flag=False),
        option("rank", None, "urgent, normal or batch.", flag=False, default="normal"),
        option("key", None, "Key of the workspace.", flag=False),
        option(
            "max-tokens",
            None,
            "Maximum tokens of the answer.",
            flag=False,
            default="64",
        ),
        option("deadline-ms", None, "Deadline, milliseconds.", flag=False),
        *call_options("Print one JSON document at the end."),
    ]

    def run_or_raise(self) -> int:
        """Send the request and print the answer as it arrives."""
        request = self._build_request()
        started_s = time.monotonic()
        first_token_s: float | None = None
        texts: list[str] = []
        for item in stream_answer(request):
            if isinstance(item, AnswerEnd):
                return self._report(item, texts, started_s, first_token_s)
            if first_token_s is None:
                first_token_s = time.monotonic() - started_s
            texts.append(item.text)
            if not self.as_json:
                self.printer.fragment(item.text)
        raise UnreachableError(request.url, "the answer ended early")

    def _build_request(self) -> OutgoingRequest:
        rank = Rank.parse(str(self.option("rank")))
        if rank is None:
            raise UsageError("--rank must be urgent, normal or batch")
        model, workspace = text_option(self, "model"), text_option(self, "workspace")
        if model is None or workspace is None:
            raise UsageError("--model and --workspace are required")
        prompt = str(self.argument("prompt"))
        headers = {
            "Content-Type": "application/json",
            "Persimmonwell-Workspace": workspace,
            "Persimmonwell-Rank": rank.name.lower(),
        }
        deadline_ms = integer_option(
            self, "deadline-ms", minimum=1, maximum=MAX_DEADLINE_MS
        )
        if deadline_ms is not None:
            headers["Persimmonwell-Deadline-Ms"] = str(deadline_ms)
        key = text_option(self, "key")
        if key is not None:
            headers["Authorization"] = f"Bearer {key}"
        if any(not v.isprintable() or not v.isascii() for v in headers.values()):
            raise UsageError("--workspace and --key must be printable ASCII")
        document = {
            "model": model,
            "prompt": sys.stdin.read() if prompt == "-" else prompt,
            "max_tokens": integer_option(self, "max-tokens", minimum=1),
            "stream": True,
        }
        ca_path = ca_file(self)
        address = address_option(self, "to", DEFAULT_CALLER_ADDRESS).rstrip("/")
        scheme = "https" if ca_path else "http"
        base = address if "://" in address else f"{scheme}://{address}"
        return OutgoingRequest(
            url=f"{base}/v1/completions",
            ca_file=ca_path,
            headers=headers,
            body=json.dumps(document),
            timeout_s=seconds_option(self, "timeout"),
        )

    def _report(
        self,
        end: AnswerEnd,
        texts: list[str],
        started_s: float,
        first_token_s: float | None,
    ) -> int:
        total_s = time.monotonic() - started_s
        if self.as_json:
            document = {
                **attrs.asdict(end),
                "text": "".join(texts),
                "tokens": len(texts),
                "first_token_s": first_token_s,
                "total_s": total_s,
            }
            self.printer.json(document)
        else:
            if texts:
                self.printer.preformatted("")
            first = (
                "no token"
                if first_token_s is None
                else f"first token {first_token_s:.3f} s"
            )
            self.printer.error(
                f"{end.outcome}, request {end.request_id or '-'}, "
                f"{len(texts)} tokens, {first}, total {total_s:.3f} s"
            )
        if end.error:
            self.printer.error(end.error)
        return exit_status_for_end(end)


def exit_status_for_end(end: AnswerEnd) -> int:
    """Return the exit status for the end of an answer."""
    if end.outcome == Outcome.COMPLETE:
        return EXIT_OK
    if end.outcome == Outcome.NOT_RUN:
        exit_status = exit_status_for(end.status)
        return EXIT_REFUSED if exit_status == EXIT_OK else exit_status
    return EXIT_PARTIAL


def stream_answer(request: OutgoingRequest) -> Iterator[TextChunk | AnswerEnd]:
    """Yield the parts of the answer; raise UnreachableError without an end in time.

    A thread reads the answer, since one that arrives byte by byte never hits a socket
    timeout.
    """
    items: queue.SimpleQueue[TextChunk | AnswerEnd | UnreachableError] = (
        queue.SimpleQueue()
    )

    def read() -> None:
        try:
            for item in _read_answer(request):
                items.put(item)
            items.put(UnreachableError(request.url, "the answer ended early"))
        except (urllib3.exceptions.HTTPError, OSError) as error:
            items.put(UnreachableError(request.url, describe_error(error)))
        except (ValueError, KeyError, TypeError, AttributeError):
            items.put(UnreachableError(request.url, "the answer is malformed"))

    threading.Thread(target=read, daemon=True).start()
    deadline_s = time.monotonic() + request.timeout_s
    while True:
        try:
            item = items.get(timeout=max(0.0, deadline_s - time.monotonic()))
        except queue.Empty:
            reason = f"no complete answer in {request.timeout_s:.1f} s"
            raise UnreachableError(request.url, reason) from None
        if isinstance(item, UnreachableError):
            raise item
        yield item
        if isinstance(item, AnswerEnd):
            return


def _read_answer(request: OutgoingRequest) -> Iterator[TextChunk | AnswerEnd]:
    with urllib3.PoolManager(retries=False, ca_certs=request.ca_file) as pool:
        response = pool.request(
            "POST",
            request.url,
            body=request.body,
            headers=request.headers,
            timeout=request.timeout_s,
            preload_content=False,
            redirect=False,
        )
        request_id = response.headers.get("Persimmonwell-Request-Id", "")
        if response.status != 200:
            yield _parse_refusal(
                response.status, request_id, json.loads(response.read())
            )
            return
        for event in _sse_events(response):
            if "choices" in event:
                text = event["choices"][0].get("text", "")
                if text:
                    yield TextChunk(str(text))
            elif "error" in event:
                yield _parse_refusal(response.status, request_id, event)
            else:
                outcome = str(event["persimmonwell"]["outcome"])
                yield AnswerEnd(response.status, outcome, request_id)


def _sse_events(response: urllib3.BaseHTTPResponse) -> Iterator[dict[str, Any]]:
    pending = b""
    for chunk in response.stream(None):
        pending += chunk
        *lines, pending = pending.split(b"\n")
        for line in lines:
            if line.startswith(b"data: {"):
                yield json.loads(line[6:])


def _parse_refusal(status: int, request_id: str, document: dict[str, Any]) -> AnswerEnd:
    error = document["error"]
    return AnswerEnd(status, str(error["outcome"]), request_id, str(error["message"]))
