"""Test that only the platform package uses the platform's wire names."""

import re
from pathlib import Path

PACKAGE = Path(__file__).resolve().parent.parent.parent / "persimmonwell"
WIRE_NAMES = (
    *("deadline-remaining", "expect-instance", "hop-count", "prompt-prefix"),
    *("token-count", "length-hint", "response-seal", "not-executed", "api-key"),
    *("last-event-id", "weight-versions", "at-server", "request-priority"),
    *("log-append", "log-read", "log-newest", "log-join", "log-leave", "/report"),
    *("traffic_split", "path_prefix", "stream_resume", "auth_exempt", "gap_aim_ms"),
    *("target_latency_ms", "per_seq_ms", "context_per_k", "kv_token_capacity"),
    *("cold_remaining_ms", "ready_addr", "internal_ports", "retry_budget_slack"),
    *("keyed.op", "keyed.servers", "repath"),
)
REQUEST_ID = r"(?<!well-)request-id"
"""The project's own request id header has a prefix and is not a wire name."""


def test_wire_names_occur_only_in_the_platform_package() -> None:
    """Guards against core and gateway code that depends on the wire format."""
    pattern = re.compile(
        "|".join([REQUEST_ID, *map(re.escape, WIRE_NAMES)]), re.IGNORECASE
    )
    occurrences = [
        f"{path.relative_to(PACKAGE)}: {match.group()}"
        for path in PACKAGE.rglob("*.py")
        if path.parent.name != "platform"
        for match in pattern.finditer(path.read_text(encoding="utf-8"))
    ]
    assert occurrences == []
