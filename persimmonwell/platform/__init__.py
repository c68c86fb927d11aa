"""Adapter to the users' platform: its headers, documents, settings file and store.

Only this package knows the platform's wire names; the rest uses the types of core.
"""

from persimmonwell.platform._headers import (
    ORDER_PATH,
    REPORT_PATH,
    AnswerHead,
    AnswerName,
    decode_answer_head,
    decode_answer_name,
    decode_refusing_stage,
    decode_report,
    decode_request,
    decode_request_id,
    decode_reroute_failure,
    decode_stalled_stages,
    encode_placement_order,
    encode_request_head,
    encode_reroute_order,
    expected_replica_headers,
    forwarded_answer_headers,
    local_answer_headers,
)
from persimmonwell.platform._host_list import HostListClient
from persimmonwell.platform._json_log import JsonLog, StreamSlice
from persimmonwell.platform._node_file import (
    DEFAULT_NODE_FILE,
    NODE_FILE_VARIABLE,
    parse_node_file,
    read_node_file,
)
from persimmonwell.platform._operator_records import (
    CONFIG_KEY,
    CONFIG_PATH,
    CONFIG_TOPIC,
    REPLICA_TOPIC,
    decode_config,
    decode_replica,
    document_path,
    mask_keys,
)
from persimmonwell.platform._store_client import (
    AppendConflictError,
    GroupMembership,
    RecordsExpiredError,
    StoreClient,
    StoreRecord,
    StoreSlice,
)

__all__ = [
    "CONFIG_KEY",
    "CONFIG_PATH",
    "CONFIG_TOPIC",
    "DEFAULT_NODE_FILE",
    "NODE_FILE_VARIABLE",
    "ORDER_PATH",
    "REPLICA_TOPIC",
    "REPORT_PATH",
    "AnswerHead",
    "AnswerName",
    "AppendConflictError",
    "GroupMembership",
    "HostListClient",
    "JsonLog",
    "RecordsExpiredError",
    "StoreClient",
    "StoreRecord",
    "StoreSlice",
    "StreamSlice",
    "decode_answer_head",
    "decode_answer_name",
    "decode_config",
    "document_path",
    "decode_replica",
    "decode_refusing_stage",
    "decode_report",
    "decode_reroute_failure",
    "decode_request",
    "decode_request_id",
    "decode_stalled_stages",
    "encode_placement_order",
    "encode_request_head",
    "encode_reroute_order",
    "expected_replica_headers",
    "forwarded_answer_headers",
    "local_answer_headers",
    "mask_keys",
    "parse_node_file",
    "read_node_file",
]
