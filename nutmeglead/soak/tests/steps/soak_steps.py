"""Steps for the soak: entry processes on loopback addresses."""

import asyncio
from functools import partial

from behave import then, when

from nutmeglead.soak.faults import ADDRESS_REUSED, CHANGES, LOST_MAP, RELOADS, STORE_DRILL
from nutmeglead.soak.late_stop_run import LATE_STOP_FAULTS, LateStopRun
from nutmeglead.soak.manifest_run import ManifestRun
from nutmeglead.soak.options import SoakOptions
from nutmeglead.soak.run import SoakRun

# Differs from the default, so that the test can run beside a soak started by hand.
TEST_NET = 77
DRILL_FAULTS = ("entry killed", "server restarted", "servers leave in series", "keys claimed")
LOST_MAP_FAULTS = (LOST_MAP, "entry paused")
# Such a drill takes 4 s to 12 s, and so does a reuse of an address.
LONG_FAULT_INTERVAL_S = 6.0
SERIES_FAULTS = (RELOADS, CHANGES, "entry stopped", "entry signalled in series")


def run_soak(context, make_run, seed, **options):
    run = make_run(seed, SoakOptions(net=TEST_NET, **options))
    context.report = asyncio.run(run.run())


@when("the soak runs seed {seed:d} for {fault_s:d} s with {entries:d} entry processes")
def step_run(context, seed, fault_s, entries):
    run_soak(context, SoakRun, seed, entries=entries, servers=3, fault_s=fault_s)


@when(
    "entry processes are stopped for {fault_s:d} s, seed {seed:d}, whose callers keep {depth:d} requests "
    "outstanding that take {work_ms:d} ms"
)
def step_stops(context, fault_s, seed, depth, work_ms):
    run_soak(
        context,
        SoakRun,
        seed,
        entries=3,
        servers=3,
        fault_s=fault_s,
        faults=("entry stopped",),
        pipeline_depth=depth,
        work_ms=work_ms,
    )


@when(
    "entry processes are reloaded and stopped for {fault_s:d} s beside tickets in series, seed {seed:d}, "
    "with {connections:d} kept connections each"
)
def step_series(context, fault_s, seed, connections):
    run_soak(
        context,
        SoakRun,
        seed,
        entries=3,
        servers=3,
        fault_s=fault_s,
        faults=SERIES_FAULTS,
        kept_connections=connections,
    )


@when(
    "the store is drilled for {fault_s:d} s beside lost entry processes and servers, seed {seed:d}"
)
def step_drills(context, fault_s, seed):
    faults = (STORE_DRILL, *DRILL_FAULTS)
    run_soak(context, SoakRun, seed, entries=3, servers=3, fault_s=fault_s, faults=faults)


@when(
    "all entry processes are killed in drills for {fault_s:d} s beside cut servers, seed {seed:d}"
)
def step_lost_maps(context, fault_s, seed):
    run_soak(
        context,
        SoakRun,
        seed,
        entries=3,
        servers=3,
        fault_s=fault_s,
        mean_interval_s=LONG_FAULT_INTERVAL_S,
        faults=LOST_MAP_FAULTS,
    )


@when(
    "addresses are reused for {fault_s:d} s without the store, seed {seed:d}, "
    "with {connections:d} kept connections each"
)
def step_reused_addresses(context, fault_s, seed, connections):
    run_soak(
        context,
        ManifestRun,
        seed,
        entries=3,
        servers=2,
        fault_s=fault_s,
        mean_interval_s=LONG_FAULT_INTERVAL_S,
        faults=(ADDRESS_REUSED,),
        kept_connections=connections,
    )


@when(
    "entry processes are stopped for {fault_s:d} s whose callers have slow links and whose servers "
    "need {work}, seed {seed:d}, with {connections:d} connections each"
)
def step_late_stops(context, fault_s, work, seed, connections):
    run_soak(
        context,
        partial(LateStopRun, work=work),
        seed,
        entries=3,
        servers=3,
        fault_s=fault_s,
        faults=LATE_STOP_FAULTS,
        kept_connections=connections,
    )


@then("the soak reports no broken requirement")
def step_no_broken_requirement(context):
    assert not context.report.broken, (context.report.broken, context.report.log)
