"""Steps for the look-up of routes."""

from dataclasses import dataclass, replace

from behave import given, then, when
from hypothesis import given as generate
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from nutmeglead.core.ids import ServiceName
from nutmeglead.forwarding.model import Backend, Manifest, RequestKind, Route
from nutmeglead.forwarding.routes import ANY_HOST, RouteTable

BACKENDS = (Backend(ServiceName("stock"), 1.0),)
HOSTS = ["a.example", "b.example", ANY_HOST]
METHODS = [b"GET", b"PUT"]
PATHS = st.text("ab/", max_size=5).map(lambda rest: f"/{rest}")
ROUTES = st.builds(
    lambda host, prefix, methods: make_route(Route, host, prefix, methods),
    st.sampled_from(HOSTS),
    PATHS,
    st.frozensets(st.sampled_from(METHODS)),
)


def make_route(route_class, host, prefix, methods=frozenset()):
    return route_class(
        "", host, prefix, RequestKind.IDEMPOTENT, 1_000, 100, 0, 2, BACKENDS, methods
    )


def find_by_comparison(routes, host, path, method):
    """Return the longest route that matches, the first one of several of the same length."""
    own = [route for route in routes if route.host == host]
    candidates = own or [route for route in routes if route.host == ANY_HOST]
    matching = [
        route
        for route in candidates
        if path.startswith(route.prefix) and (not route.methods or method in route.methods)
    ]
    return max(matching, key=lambda route: len(route.prefix), default=None)


@then("{count:d} generated manifests match each path as a comparison with every route does")
def step_equivalent(context, count):
    @hypothesis_settings(max_examples=count, derandomize=True, database=None, deadline=None)
    @generate(st.lists(ROUTES, max_size=8), st.lists(PATHS, max_size=8))
    def check(unnamed, paths):
        routes = tuple(replace(route, name=str(number)) for number, route in enumerate(unnamed))
        table = RouteTable(Manifest(1, routes, {}))
        for path in [*paths, *(route.prefix for route in routes)]:
            for host in HOSTS[:2]:
                for method in METHODS:
                    expected = find_by_comparison(routes, host, path, method)
                    assert table.match(host, f"{path}?q", method) is expected

    check()


@dataclass(frozen=True)
class CountingRoute(Route):
    """Count the reads of each route's prefix."""

    reads = 0

    def __getattribute__(self, name):
        if name == "prefix":
            CountingRoute.reads += 1
        return super().__getattribute__(name)


@given("a table of {count:d} routes with prefixes of the same length")
def step_table(context, count):
    context.routes = tuple(
        make_route(CountingRoute, HOSTS[0], f"/{number:06d}/") for number in range(count)
    )
    context.route_table = RouteTable(Manifest(1, context.routes, {}))


@when("the path of the last route is looked up")
def step_look_up(context):
    path = f"{context.routes[-1].prefix}x"
    CountingRoute.reads = 0
    context.found = context.route_table.match(HOSTS[0], path)
    context.reads = CountingRoute.reads


@then("the last route is found, and no prefix of a route was read")
def step_found(context):
    assert context.found is context.routes[-1]
    assert context.reads == 0, context.reads
