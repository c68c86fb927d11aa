"""Transport of typed messages between entry hosts."""

from persimmonwell.peers._links import CurveKeys, PeerLinks
from persimmonwell.peers._messages import (
    MalformedFrameError,
    decode_message,
    encode_message,
)

__all__ = [
    "CurveKeys",
    "MalformedFrameError",
    "PeerLinks",
    "decode_message",
    "encode_message",
]
