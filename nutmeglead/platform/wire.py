"""Headers, paths and table names of the platform's protocols."""

__all__ = [
    "ANSWER_ID_HEADER",
    "DEADLINE_HEADER",
    "EVACUATION_KEY_PREFIX",
    "GRANT_TARGET",
    "HANDOVER_HEADER",
    "KEY_HEADER",
    "MANIFEST_KEY",
    "MANIFEST_TABLE",
    "NOT_RUN_HEADER",
    "READY_TARGET",
    "RELEASE_TARGET",
    "REQUEST_ID_HEADER",
    "RETRY_AFTER_HEADER",
    "SERVERS_TABLE",
    "SERVER_ID_HEADER",
    "SERVER_LEAVING_HEADER",
    "SERVER_LOAD_HEADER",
    "SIGNATURE_HEADER",
    "STORE_ERA_HEADER",
    "STORE_FEED_PATH",
    "STORE_READ_PATH",
    "STORE_TRANSACT_PATH",
    "TARGET_SERVER_HEADER",
    "WARMUP_LEFT_HEADER",
]

# Header names are in lower case, as h11 returns them.
REQUEST_ID_HEADER = b"x-request-id"
# A server returns the id of the request that it answers, so that a late answer to an earlier
# request can be told from the right one.
ANSWER_ID_HEADER = REQUEST_ID_HEADER
# Time in ms that is left for a request.
DEADLINE_HEADER = b"x-deadline-ms"
# Id of the server that answers a health check.
SERVER_ID_HEADER = b"x-instance-id"
# A server signs its answers; a success without a signature comes from something else.
SIGNATURE_HEADER = b"x-response-signature"
# Id of the server that a request or an order is meant for; another server refuses it.
TARGET_SERVER_HEADER = b"x-target-instance"
# Marks the answer to a request that the server did not execute.
NOT_RUN_HEADER = b"x-not-executed"
# A server refuses with it what names another server, and requests for keys that it does not hold.
MISDIRECTED_STATUS = 421
# Says in all answers of a server that it is leaving.
SERVER_LEAVING_HEADER = b"server-leaving"
# Says in all answers of some servers how many requests run and wait there, how many slots there
# are, and how long work takes now in percent of the usual time.
SERVER_LOAD_HEADER = b"x-instance-load"
# In an answer with status 503: for how many seconds the server wants no requests of this node.
RETRY_AFTER_HEADER = b"retry-after"
# Time in ms for which a server will go on warming up.
WARMUP_LEFT_HEADER = b"x-warmup-ms"
# Number of the key that a request is for.
KEY_HEADER = b"x-shard-key"
# Handover in the answer to a release; the grant to the next owner carries it.
HANDOVER_HEADER = b"x-handover"

# In all answers of the store: how often it has returned from an older copy. 0 without the header.
STORE_ERA_HEADER = b"store-era"
STORE_TRANSACT_PATH = "/v1/rows-tx"
STORE_READ_PATH = "/v1/rows-get"
STORE_FEED_PATH = "/v1/rows-feed"
READY_TARGET = b"/v1/ready"
GRANT_TARGET = b"/v1/grant"
RELEASE_TARGET = b"/v1/release"

MANIFEST_TABLE = "op"
MANIFEST_KEY = "config"
# Key of a row of the manifest table that evacuates the failure domain whose name follows.
EVACUATION_KEY_PREFIX = "evacuate/"
SERVERS_TABLE = "servers"
