"""Steps that check when each node has a large manifest in force."""

from behave import given, then, when

from nutmeglead.core.events import Event
from nutmeglead.entry.tests import manifests
from nutmeglead.entry.tests.collected_events import collect
from nutmeglead.entry.tests.manifests import ManifestRun, copy_sizes, silent_peers

TROUBLES = {
    "one route changes": manifests.one_route_changes,
    "1400 routes are added": manifests.routes_are_added,
    "one route changes each 330 ms for 4 s": manifests.one_route_changes_often,
    "one route changes and a node starts again": manifests.one_route_changes_as_a_node_starts,
    "one route changes as a hub of each domain is killed": (
        manifests.one_route_changes_as_hubs_are_killed
    ),
    "one route changes as a hub of each domain is cut off": (
        manifests.one_route_changes_as_hubs_are_cut_off
    ),
    "one route changes after all hubs are killed": (
        manifests.one_route_changes_after_all_hubs_are_killed
    ),
    "one route changes before and after an outage": (
        manifests.one_route_changes_before_and_after_an_outage
    ),
    "one route changes just before and after a short outage": (
        manifests.one_route_changes_just_before_and_after_a_short_outage
    ),
    "one route changes on full links": manifests.one_route_changes_on_full_links,
    "1400 routes are added on full links": manifests.routes_are_added_on_full_links,
    "one route changes on full links as a hub of each domain is killed": (
        manifests.one_route_changes_on_full_links_as_hubs_are_killed
    ),
    "one route changes as a hub of each domain sends no copies": (
        manifests.one_route_changes_as_hubs_send_no_copies
    ),
    "one route changes as copies of other tables hang": (
        manifests.one_route_changes_as_other_copies_hang
    ),
}


@given("a settled cluster of eight nodes with a large manifest and seed {seed:d}")
def step_cluster(context, seed):
    context.run = ManifestRun(seed, collect(context, "nutmeglead"))


@when("it happens that {trouble}")
def step_trouble(context, trouble):
    context.run.run(TROUBLES[trouble])


@then("every calm node has each version in force within {bound_ms:d} ms")
def step_in_force(context, bound_ms):
    late = {v: at_ms for v, at_ms in context.run.latest_ms.items() if at_ms > bound_ms}
    assert context.run.acknowledged_ms and not late, late


@then("no calm node takes another one for silent")
def step_not_silent(context):
    assert not silent_peers(context.run), silent_peers(context.run)


@then("no node has logged more than {limit:d} failed fetches")
def step_failed_fetches(context, limit):
    run = context.run
    counts = [len(run.events.fields_of(Event.PEER_FETCH_FAILED, {ip})) for ip in run.calm_ips]
    assert counts and max(counts) <= limit, counts


@then("no copy of the manifest to a calm node is larger than {limit_bytes:d} bytes")
def step_copy_sizes(context, limit_bytes):
    sizes = copy_sizes(context.run)
    assert sizes and max(sizes) <= limit_bytes, sizes
