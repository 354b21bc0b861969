"""Names of the platform's headers, paths and topics."""

from typing import Final

REQUEST_ID: Final = b'x-peridotrill-request-id'
MODEL: Final = b'x-peridotrill-model'
TOKEN_COUNT: Final = b'x-peridotrill-token-count'
PROMPT_PREFIX: Final = b'x-peridotrill-prompt-prefix'
LENGTH_HINT: Final = b'x-peridotrill-length-hint'
# Remaining time in milliseconds, not a timestamp.
DEADLINE_MS: Final = b'x-peridotrill-deadline-ms'
EXPECT_INSTANCE: Final = b'x-peridotrill-expect-instance'
EXPECT_VERSION: Final = b'x-peridotrill-expect-version'
TENANT: Final = b'x-peridotrill-tenant'
REQ_PRIORITY: Final = b'x-peridotrill-req-priority'
STAGE: Final = b'x-peridotrill-stage'
KV_SOURCE: Final = b'x-peridotrill-kv-source'
KV_HOLD: Final = b'x-peridotrill-kv-hold'
KV_BACKUP: Final = b'x-peridotrill-kv-backup'
PIN_MS: Final = b'x-peridotrill-pin-ms'
KV_FETCH: Final = b'kv-fetch'
ENGINE_STAMP: Final = b'x-peridotrill-engine-stamp'
NOT_RUN: Final = b'x-peridotrill-not-run'
ENGINE_ID: Final = b'x-peridotrill-engine-id'
ENGINE_LOAD: Final = b'x-peridotrill-engine-load'
# Requests per second that a target accepts from all callers together.
SERVER_LIMIT: Final = b'server-limit'
# How much longer the engine is cold, in milliseconds.
COLD_MS: Final = b'x-peridotrill-cold-ms'
# An engine that leaves says so in all its responses.
SERVER_LEAVING: Final = b'server-leaving'
RETRY_AFTER: Final = b'retry-after'
DUTY_HOLDER: Final = b'x-peridotrill-duty-holder'
FENCE_TOKEN: Final = b'x-peridotrill-fence-token'
# Generation of the store; it rises each time the store is restored from an
# older copy.
STORE_GENERATION: Final = b'store-era'
LAST_EVENT_ID: Final = b'last-event-id'
# Request id of the attempt that brought the first event of a stream that the
# caller takes up again.
RESUMES: Final = b'resumes'
AUTHORIZATION: Final = b'authorization'
KEEP_ALIVE: Final = b'keep-alive'

# Headers that only the gateway may set; those sent by callers are removed.
SYSTEM_HEADERS: Final = frozenset(
    (
        DEADLINE_MS,
        EXPECT_INSTANCE,
        EXPECT_VERSION,
        TENANT,
        REQ_PRIORITY,
        STAGE,
        KV_SOURCE,
        KV_HOLD,
        KV_BACKUP,
        PIN_MS,
        KV_FETCH,
        b'x-peridotrill-kv-fetch',
        DUTY_HOLDER,
        FENCE_TOKEN,
        LAST_EVENT_ID,
        AUTHORIZATION,
    ),
)
# Hop-by-hop and framing headers, which are not forwarded.
CONNECTION_HEADERS: Final = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-connection',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        b'content-length',
        b'expect',
    ),
)

READY_PATH: Final = '/-/ready'
CONFIG_TOPIC: Final = 'keyed.op'
CONFIG_KEY: Final = 'config'
# Prefix of the keys of evacuated zones, in the topic of the configuration.
EVACUATION_PREFIX: Final = 'evacuate/'
SERVERS_TOPIC: Final = 'keyed.servers'
MEMBERS_TOPIC: Final = 'keyed.peridotrill-members'
USAGE_TOPIC: Final = 'keyed.peridotrill-usage'
QUARANTINE_TOPIC: Final = 'keyed.peridotrill-quarantine'
VERSIONS_TOPIC: Final = 'keyed.peridotrill-versions'
STREAMS_TOPIC: Final = 'keyed.peridotrill-streams'
LEASE_TOPIC: Final = 'peridotrill-coordination'
