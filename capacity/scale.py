"""The target scale of design section 1.2, and further assumptions."""

from typing import Final, NamedTuple

from peridotrill.agent import LOAD_INTERVAL
from peridotrill.channel import FLUSH_INTERVAL
from peridotrill.engine_client import MAX_CACHED_PREFIXES
from peridotrill.log_client import PAGE_DELAY
from peridotrill.registration import renew_interval_s
from peridotrill.target_links import POLL_BYTES_PER_S
from peridotrill.usage_windows import KEPT_WINDOWS

DAY_S: Final = 86_400

NODES: Final = 420
TARGETS: Final = 820
TEAMS: Final = 1100
MODELS: Final = 7
ZONES: Final = 6
REQUESTS_PER_S: Final = 13_000
TOKENS_PER_S: Final = 2_900_000
CHANGES_PER_DAY: Final = 990
RESTARTS_PER_DAY: Final = 160
KV_GB_PER_S: Final = 2900
PREFILL_SHARE: Final = 0.33

BUDGET_CORES: Final = 0.037
BUDGET_MEMORY_BYTES: Final = 64e6
BUDGET_BYTES_PER_S: Final = 15_000
BUDGET_ENTRY_CORES: Final = 0.5
# Lower end of "several hundred appends per second".
BUDGET_APPENDS_PER_S: Final = 300
BUDGET_CONFIG_S: Final = 11

# Assumptions, listed on the page.
KEYS_PER_TEAM: Final = 2
# Maximum that the agent of an engine reports.
CACHED_PREFIXES: Final = MAX_CACHED_PREFIXES
# Default of the entry setting ``target_subset``.
TARGET_SUBSET: Final = 8
TOKENS_PER_S_PER_STREAM: Final = 18
PLAIN_SHARE: Final = 0.1
RETENTION_S: Final = 900
# Length field and hop header of the transport, and headers of TCP with
# timestamps over Ethernet. TCP acknowledgements are piggybacked on data.
BATCH_OVERHEAD_BYTES: Final = 78
# Headers of an HTTP request of the log client.
HTTP_REQUEST_BYTES: Final = 200


class Plan(NamedTuple):
    """Parameters of the system as built, or with the proposals."""

    name: str
    links_per_entry: int
    # Batches per second on an idle link, in both directions together: the
    # heartbeats and the load reports. 0 uses the measured rate.
    batches_per_s: float
    heartbeats_per_s: float
    reports_per_s: float
    prefixes_per_report: float
    # Entries and home targets listed in Hello, on a new connection and after
    # a change of either list.
    hello_entries: int
    hello_homes: float
    changed_entries: int
    changed_homes: float
    indexes_homes: bool
    read_pause_s: float
    renewal_interval_s: float
    lease_renewal_interval_s: float
    held_leases: int
    usage_writers: int
    usage_flush_interval_s: float
    usage_reporters: int
    kept_counts: int
    kept_windows: int
    vm_poll_interval_s: float
    snapshot_interval_s: float
    expiry_writers: int
    indexed_targets: bool
    flush_interval_s: float
    parses_in_thread: bool


# Size of a row in the VM list of the stand-in platform.
VM_ROW_BYTES: Final = 165
LEASES: Final = MODELS * ZONES + ZONES + 3

AS_BUILT: Final = Plan(
    name='as built',
    links_per_entry=TARGET_SUBSET * MODELS,
    batches_per_s=0,
    heartbeats_per_s=2,
    reports_per_s=1 / LOAD_INTERVAL.total_seconds(),
    prefixes_per_report=CACHED_PREFIXES,
    hello_entries=NODES,
    hello_homes=TARGETS,
    changed_entries=NODES,
    changed_homes=TARGETS,
    indexes_homes=True,
    read_pause_s=PAGE_DELAY.total_seconds(),
    renewal_interval_s=renew_interval_s(NODES),
    lease_renewal_interval_s=2,
    held_leases=LEASES,
    usage_writers=NODES,
    usage_flush_interval_s=5,
    usage_reporters=1,
    kept_counts=0,
    kept_windows=KEPT_WINDOWS,
    vm_poll_interval_s=(NODES + TARGETS) * VM_ROW_BYTES / POLL_BYTES_PER_S,
    # 0: by number of records, within the bounds of SnapshotSettings.
    snapshot_interval_s=0,
    expiry_writers=1,
    indexed_targets=False,
    flush_interval_s=FLUSH_INTERVAL.total_seconds(),
    parses_in_thread=False,
)
PROPOSED: Final = Plan(
    name='with the proposals',
    # Three targets of each model.
    links_per_entry=3 * MODELS,
    batches_per_s=1,
    heartbeats_per_s=0.5,
    reports_per_s=0.5,
    # Only new prefixes; a target starts 16 requests per second.
    prefixes_per_report=2 * REQUESTS_PER_S / TARGETS,
    hello_entries=0,
    hello_homes=0,
    changed_entries=1,
    changed_homes=1,
    indexes_homes=True,
    read_pause_s=2,
    renewal_interval_s=120,
    lease_renewal_interval_s=10,
    held_leases=2,
    usage_writers=ZONES,
    usage_flush_interval_s=60,
    usage_reporters=ZONES,
    kept_counts=0,
    kept_windows=KEPT_WINDOWS,
    vm_poll_interval_s=120,
    snapshot_interval_s=1800,
    expiry_writers=1,
    indexed_targets=True,
    flush_interval_s=0.01,
    parses_in_thread=True,
)
PLANS: Final = (AS_BUILT, PROPOSED)
