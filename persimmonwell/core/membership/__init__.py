"""Membership: upstreams, peer messages, and the choice of peers and log readers."""

from persimmonwell.core.membership._members import Member, Members, member_id
from persimmonwell.core.membership._messages import (
    NO_CONFIG_IN_FORCE,
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
    LOG_READERS_PER_ZONE,
    choose_log_readers,
    choose_peers,
    rendezvous_order,
)

__all__ = [
    "choose_log_readers",
    "choose_peers",
    "ConfigRecords",
    "ConfigRequest",
    "Heartbeat",
    "HostVersion",
    "LeavingMark",
    "LOG_READERS_PER_ZONE",
    "Member",
    "member_id",
    "Members",
    "MembersDelta",
    "MembersRequest",
    "NO_CONFIG_IN_FORCE",
    "PeerMessage",
    "QuarantineNotice",
    "rendezvous_order",
]
