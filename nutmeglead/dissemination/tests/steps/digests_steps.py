"""Steps for version digests and page stores."""

from behave import given, then, when
from hypothesis import given as generated
from hypothesis import settings
from hypothesis import strategies as st

from nutmeglead.dissemination.digests import newer_pages, version_list
from nutmeglead.dissemination.page_ids import PageId
from nutmeglead.dissemination.pages import PageStore
from nutmeglead.dissemination.service_copy import ServiceCopy
from nutmeglead.dissemination.tests.page_cases import SERVICE, make_page


def parse_versions(text):
    versions = {}
    for part in text.split(", "):
        if part != "nothing":
            kind, number, version = part.split()
            versions[PageId(kind == "pins", int(number))] = int(version[1:])
    return versions


def store_of(versions):
    copy = ServiceCopy(SERVICE)
    for (pins, number), version in versions.items():
        copy.put(make_page(version, pins, number))
    return copy


@given("a node with the pages {text}")
def step_node(context, text):
    context.copy = store_of(parse_versions(text))


@when("it compares with a neighbour that has the pages {text}")
def step_compare(context, text):
    theirs = store_of(parse_versions(text)).store
    context.wanted = newer_pages(context.copy.store.versions(), version_list(theirs.versions()))


def _without_epochs():
    page = make_page(4)
    page.epochs = []
    return page


def _with_unknown_owner():
    page = make_page(4)
    page.owners[0] = len(page.servers)
    return page


OFFERS = {
    "hash 0 v4": lambda: make_page(4),
    "hash 0 v3": lambda: make_page(3),
    "hash 0 v2": lambda: make_page(2),
    "hash 0 v4 of another service": lambda: make_page(4, service="catalogo"),
    "hash 0 v4 without epochs": _without_epochs,
    "hash 0 v4 with an unknown owner": _with_unknown_owner,
}


@when("it is offered {offer}")
def step_offer(context, offer):
    context.changes = context.copy.put(OFFERS[offer]())


@then("it fetches {text}")
def step_fetches(context, text):
    found = {PageId(e.pins, e.page_number): e.version for e in context.wanted}
    assert found == parse_versions(text), found


@then("it has hash 0 at version {version:d} after {changes:d} changes")
def step_has(context, version, changes):
    assert len(context.changes) == changes, context.changes
    store = context.copy.store
    assert store.version(PageId(False, 0)) == version
    assert store.get(PageId(False, 0)).version == version


@then(
    "stores that got any pages in any order have equal digests exactly if their versions are equal"
)
def step_order(context):
    steps = st.lists(st.tuples(st.booleans(), st.integers(0, 2), st.integers(1, 4)), max_size=8)

    @settings(derandomize=True, deadline=None, max_examples=200)
    @generated(steps, steps, st.randoms(use_true_random=False))
    def check(first, second, rng):
        shuffled = list(first)
        rng.shuffle(shuffled)
        stores = [PageStore(SERVICE) for _ in range(3)]
        for store, order in zip(stores, (first, shuffled, second), strict=True):
            for pins, number, version in order:
                store.put(make_page(version, pins, number))
        for left in stores:
            for right in stores:
                equal = left.versions() == right.versions()
                assert (left.digest == right.digest) == equal
        assert stores[0].versions() == stores[1].versions()
        assert all(-(2**63) <= store.digest < 2**63 for store in stores)

    check()
