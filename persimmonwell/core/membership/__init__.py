"""Know the upstreams and entry hosts, and choose whom to exchange with."""

from persimmonwell.core.membership._members import Member, Members, member_id
from persimmonwell.core.membership._messages import (
    NOT_IN_FORCE,
    ConfigRecords,
    ConfigRequest,
    Heartbeat,
    HostVersion,
    LeavingMark,
    MembersDelta,
    MembersRequest,
    PeerMessage,
    QuarantineNotice,
)
from persimmonwell.core.membership._rendezvous import (
    READERS_PER_ZONE,
    choose_peers,
    choose_readers,
    rendezvous_order,
)

__all__ = [
    "ConfigRecords",
    "ConfigRequest",
    "Heartbeat",
    "HostVersion",
    "LeavingMark",
    "Member",
    "Members",
    "MembersDelta",
    "MembersRequest",
    "NOT_IN_FORCE",
    "PeerMessage",
    "QuarantineNotice",
    "READERS_PER_ZONE",
    "choose_peers",
    "choose_readers",
    "member_id",
    "rendezvous_order",
]
