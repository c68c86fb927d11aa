"""Translate between the platform's messages and the product's types."""

from persimmonwell.platform._headers import (
    ORDER_PATH,
    REPORT_PATH,
    AnswerHead,
    answer_headers,
    decode_answer_head,
    decode_report,
    decode_request,
    decode_stalled,
    encode_place_order,
    encode_request_head,
    encode_reroute_order,
    order_headers,
    own_answer_headers,
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
    CONFIG_TOPIC,
    REPLICA_TOPIC,
    decode_config,
    decode_replica,
)
from persimmonwell.platform._store_client import (
    AppendConflictError,
    Membership,
    RecordsExpiredError,
    StoreClient,
    StoreRecord,
    StoreSlice,
)

__all__ = [
    "CONFIG_KEY",
    "CONFIG_TOPIC",
    "DEFAULT_NODE_FILE",
    "NODE_FILE_VARIABLE",
    "ORDER_PATH",
    "REPLICA_TOPIC",
    "REPORT_PATH",
    "AnswerHead",
    "AppendConflictError",
    "HostListClient",
    "JsonLog",
    "Membership",
    "RecordsExpiredError",
    "StoreClient",
    "StoreRecord",
    "StoreSlice",
    "StreamSlice",
    "answer_headers",
    "decode_answer_head",
    "decode_config",
    "decode_replica",
    "decode_report",
    "decode_request",
    "decode_stalled",
    "encode_place_order",
    "encode_request_head",
    "encode_reroute_order",
    "order_headers",
    "own_answer_headers",
    "parse_node_file",
    "read_node_file",
]
