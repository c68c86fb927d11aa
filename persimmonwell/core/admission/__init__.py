"""Admission control of daemon and gateway.

Queues by priority class with floors, start-time fair queueing of workspaces in a class,
and limits of workspaces. A priority class is any ordered key.
"""

from persimmonwell.core.admission._classes import ClassQueues
from persimmonwell.core.admission._entries import QueueEntry
from persimmonwell.core.admission._estimates import DispatchRateMeter, ServiceTimes
from persimmonwell.core.admission._fair import FairQueue
from persimmonwell.core.admission._floors import ClassFloors
from persimmonwell.core.admission._limits import Limits, LimitShare
from persimmonwell.core.admission._queues import (
    AdmissionQueue,
    ClassBounds,
    Queued,
    Refused,
)

__all__ = [
    "AdmissionQueue",
    "ClassBounds",
    "ClassFloors",
    "ClassQueues",
    "DispatchRateMeter",
    "FairQueue",
    "LimitShare",
    "Limits",
    "QueueEntry",
    "Queued",
    "Refused",
    "ServiceTimes",
]
