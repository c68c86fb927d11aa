"""Decide which request is dispatched next, and which is refused."""

from persimmonwell.core.admission._estimates import DrainMeter, ServiceTimes
from persimmonwell.core.admission._fair import Entry, FairQueue
from persimmonwell.core.admission._floors import RankFloors
from persimmonwell.core.admission._limits import Limits, LimitShare
from persimmonwell.core.admission._queues import AdmissionQueue, Queued, Refused

__all__ = [
    "AdmissionQueue",
    "DrainMeter",
    "Entry",
    "FairQueue",
    "LimitShare",
    "Limits",
    "Queued",
    "RankFloors",
    "Refused",
    "ServiceTimes",
]
