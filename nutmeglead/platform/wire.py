"""Name the platform's headers, calls and tables."""

__all__ = [
    "ANSWER_ID_HEADER",
    "DEADLINE_HEADER",
    "GRANT_TARGET",
    "HANDOVER_HEADER",
    "KEY_HEADER",
    "MANIFEST_KEY",
    "MANIFEST_TABLE",
    "NOT_RUN_HEADER",
    "READY_TARGET",
    "RELEASE_TARGET",
    "REQUEST_ID_HEADER",
    "SERVERS_TABLE",
    "SERVER_ID_HEADER",
    "SIGNATURE_HEADER",
    "STORE_FEED_PATH",
    "STORE_READ_PATH",
    "STORE_TRANSACT_PATH",
    "TARGET_SERVER_HEADER",
]

# Header names are lower case, as h11 gives them.
REQUEST_ID_HEADER = b"x-request-id"
# A server echoes the request's id, so that a late second answer can be told from the right one.
ANSWER_ID_HEADER = REQUEST_ID_HEADER
DEADLINE_HEADER = b"x-deadline-ms"
SERVER_ID_HEADER = b"x-instance-id"
SIGNATURE_HEADER = b"x-response-signature"
TARGET_SERVER_HEADER = b"x-target-instance"
NOT_RUN_HEADER = b"x-not-executed"
KEY_HEADER = b"x-shard-key"
HANDOVER_HEADER = b"x-handover"

STORE_TRANSACT_PATH = "/v1/rows-tx"
STORE_READ_PATH = "/v1/rows-get"
STORE_FEED_PATH = "/v1/rows-feed"
READY_TARGET = b"/v1/ready"
GRANT_TARGET = b"/v1/grant"
RELEASE_TARGET = b"/v1/release"

MANIFEST_TABLE = "op"
MANIFEST_KEY = "config"
SERVERS_TABLE = "servers"
