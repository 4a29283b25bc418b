"""Steps for writes of a service's rows that get no answer from a slow store."""

from behave import given, when

from nutmeglead.emulator.store_host import StoreFault
from nutmeglead.entry.tests.cluster_run import crash_server_with_most_keys, pause
from nutmeglead.entry.tests.deployment import SERVICE
from nutmeglead.ranges.role import MAP_KEY, RANGES_TABLE, ROLE_KEY, ROLES_TABLE

# The store refuses the calls of the acting node until this time after its write. It repeats the write meanwhile, after the timeout
# of 1,500 ms and a pause of 250 ms, and then plans its next map anew.
REFUSED_UNTIL_MS = 1_850
CUT_MS = 9_000
LATE_MS = 4_000
MAX_WAIT_MS = 9_000
STEP_MS = 10


async def _wait_until(is_reached):
    for _ in range(MAX_WAIT_MS // STEP_MS):
        if is_reached():
            return
        await pause(STEP_MS)
    raise AssertionError(f"the trouble has not begun within {MAX_WAIT_MS} ms")


async def _wait_for_write(cluster, table, key):
    before = cluster.rows.get(table, key, SERVICE)
    await _wait_until(lambda: cluster.rows.get(table, key, SERVICE) != before)


async def write_map_and_crash_another(cluster):
    acting_id = cluster.acting(SERVICE)
    cluster.store.unanswered_table = RANGES_TABLE
    cluster.crash_server(cluster.server_with_most_keys())
    await _wait_for_write(cluster, RANGES_TABLE, MAP_KEY)
    cluster.set_store_faults([acting_id], StoreFault.BUSY)
    cluster.store.unanswered_table = None
    cluster.crash_server(cluster.server_with_most_keys())
    await pause(REFUSED_UNTIL_MS - cluster.store.delay_ms)
    cluster.set_store_faults([acting_id], StoreFault.NONE)


async def write_role_of_successor(cluster):
    # No later write of the role gets an answer either: only its row can tell the successor.
    cluster.store.unanswered_table = ROLES_TABLE
    cluster.kill_node(cluster.acting(SERVICE))
    await _wait_for_write(cluster, ROLES_TABLE, ROLE_KEY)
    await crash_server_with_most_keys(cluster)


async def write_role_late(cluster):
    acting_id = cluster.acting(SERVICE)
    cluster.store.unanswered_table, cluster.store.unanswered_delay_ms = ROLES_TABLE, LATE_MS
    cluster.set_store_faults([acting_id], StoreFault.SILENT)
    await _wait_until(lambda: cluster.store.unanswered_count)
    cluster.set_store_faults([acting_id], StoreFault.NONE)
    await _wait_for_write(cluster, ROLES_TABLE, ROLE_KEY)
    cluster.store.unanswered_table = None
    await crash_server_with_most_keys(cluster)


async def cut_acting_node_off(cluster):
    acting_id = cluster.acting(SERVICE)
    cluster.set_store_faults([acting_id], StoreFault.SILENT)
    await crash_server_with_most_keys(cluster)
    await pause(CUT_MS)
    cluster.set_store_faults([acting_id], StoreFault.NONE)


TROUBLES = {
    "the map is written and then another server crashes": write_map_and_crash_another,
    "the role is written by the successor of a killed node": write_role_of_successor,
    "the role is written late for a node that has stopped trying": write_role_late,
    "the acting node is cut off from the store and a server crashes": cut_acting_node_off,
}


@given("a run of {run_s:d} s, of which the late write takes 4 s")
def step_run_time(context, run_s):
    context.cluster_run.run_ms = run_s * 1000


@when("writes to a store that needs {answer_ms:d} ms get no answer: {trouble}")
def step_trouble(context, answer_ms, trouble):
    async def run(cluster):
        cluster.store.delay_ms = answer_ms
        await TROUBLES[trouble](cluster)

    context.cluster_run.run(run)
