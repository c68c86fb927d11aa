"""Admission control: per-target queues, fair queueing and workspace limits."""

from persimmonwell.core.admission._estimates import DispatchRateMeter, ServiceTimes
from persimmonwell.core.admission._fair import FairQueue, QueueEntry
from persimmonwell.core.admission._floors import RankFloors
from persimmonwell.core.admission._limits import Limits, LimitShare
from persimmonwell.core.admission._queues import AdmissionQueue, Queued, Refused

__all__ = [
    "AdmissionQueue",
    "DispatchRateMeter",
    "FairQueue",
    "LimitShare",
    "Limits",
    "QueueEntry",
    "Queued",
    "RankFloors",
    "Refused",
    "ServiceTimes",
]
