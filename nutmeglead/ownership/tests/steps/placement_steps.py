"""Steps for unit maps and placement pages."""

from behave import given, then, when
from result import Err

from nutmeglead._generated.common.ttypes import UnitKind
from nutmeglead.ownership import pages
from nutmeglead.ownership.keys import PAGE_UNITS, bucket_shift, hash_key
from nutmeglead.ownership.units import Holder, Unit, UnitMap

SERVICE, BUCKETS = "lagerblick", 512
STAMP = pages.WriteStamp(1, 0)
BUCKET = Unit.of_bucket(hash_key("abc") >> bucket_shift(BUCKETS))


def parse_unit(name):
    if name == "bucket":
        return BUCKET
    return Unit.of_prefix(name[:-1]) if name.endswith("*") else Unit.of_key(name)


def parse_list(text):
    return [] if text in ("none", "nothing") else text.split(", ")


class PlacementScenario:
    def __init__(self):
        self.map, self.pages = UnitMap(SERVICE, BUCKETS), {}
        for page in pages.hash_pages(SERVICE, BUCKETS, lambda bucket: "s0", STAMP):
            self.take(page)

    def take(self, page):
        assert self.map.apply(page), page
        self.pages[pages.page_key_of(page)] = page

    def page(self, unit):
        pins, number = pages.page_of_unit(unit)
        empty = pages.empty_pin_page(SERVICE, number, STAMP)
        return self.pages.get(pages.page_key(SERVICE, pins, number), empty)

    def change(self, text):
        verb, name, *rest = text.split()
        unit = parse_unit(name)
        page, below = self.page(unit), self.map.records_below(unit)
        if verb == "move":
            owner = None if rest[1] == "nobody" else rest[1]
            result = pages.move_units(page, {unit: owner}, STAMP)
        elif verb == "add":
            result = pages.add_unit(page, unit, rest[1], below, STAMP)
        elif verb == "remove":
            result = pages.remove_unit(page, unit, below, STAMP)
        else:
            server, epoch = rest[0].split("@")
            self.take(pages.clear_previous(page, {unit: [Holder(server, int(epoch))]}, STAMP))
            return None
        if isinstance(result, Err):
            return result.err_value
        self.take(result.ok_value)
        return None

    def grant_set(self, server, proof):
        found = self.map.grant_set(server, lambda unit, holder: proof == "proof")
        all_sets = self.map.grant_sets(["s0", "s1"], lambda unit, holder: proof == "proof")
        assert all_sets[server] == found, all_sets
        return found


@given("the pages after: {changes}")
def step_pages(context, changes):
    context.placement = PlacementScenario()
    for change in [] if changes == "none" else changes.split("; "):
        assert context.placement.change(change) is None, change


@given("a unit map with the pins: {pins}")
def step_map(context, pins):
    context.placement = PlacementScenario()
    for pin in parse_list(pins):
        name, owner = pin.split("=")
        assert context.placement.change(f"add {name} to {owner}") is None


@when("the next change is: {change}")
def step_change(context, change):
    context.error = context.placement.change(change)


@when("{which} arrives")
def step_arrives(context, which):
    scenario = context.placement
    known = scenario.page(Unit.of_key("abc"))
    page = pages.empty_pin_page(SERVICE, known.page_number, STAMP)
    page.version = known.version - 1 if "older" in which else known.version + 1
    if "another" in which:
        page.service_name = "konturablage"
    scenario.map.apply(page)


@then("it is refused as {error}")
def step_refused(context, error):
    assert type(context.error).__name__ == error, context.error


@then("{unit} has owner {owner}, epoch {epoch:d} and previous holders {previous}")
def step_record(context, unit, owner, epoch, previous):
    record = context.placement.map.record(parse_unit(unit))
    assert (record.owner or "none", record.epoch) == (owner, epoch), record
    holders = [f"{holder.server_id}@{holder.epoch}" for holder in record.previous]
    assert sorted(holders) == parse_list(previous), record
    assert context.placement.map.locate("abc").pending == bool(holders)


@then('"{key}" is located in {unit} of {owner}')
def step_located(context, key, unit, owner):
    found = context.placement.map.locate(key)
    expected = parse_unit(unit)
    if unit == "bucket":
        expected = Unit.of_bucket(hash_key(key) >> bucket_shift(BUCKETS))
    assert (found.unit, found.owner) == (expected, owner), found


@then("with {proof} the grants of {server} contain {granted} and not {left_out}")
def step_grants(context, proof, server, granted, left_out):
    units = dict(context.placement.grant_set(server, proof).grants)
    assert all(parse_unit(name) in units for name in parse_list(granted)), units
    assert parse_unit(left_out) not in units, units
    owned = {record.unit: record.epoch for record in context.placement.map.units_of(server)}
    assert units.items() <= owned.items(), units


@then("with {proof} the carve-outs of {server} are {carve_outs}")
def step_carve_outs(context, proof, server, carve_outs):
    found = set(context.placement.grant_set(server, proof).carve_outs)
    assert found == {parse_unit(name) for name in parse_list(carve_outs)}, found


@then("server {one} owns {count:d} units and server {two} owns 1 unit")
def step_units(context, one, count, two):
    units = context.placement.map.units_of(one)
    assert len(units) == count and len({record.unit for record in units}) == count
    assert [record.unit for record in context.placement.map.units_of(two)] == [Unit.of_key("abc")]


@then("the loss of {server} touches the rows {first}, {second} and the pin page of abc")
def step_loss(context, server, first, second):
    touched = pages.pages_touched_by_loss(context.placement.map, server)
    pin_page = pages.page_key(SERVICE, *pages.page_of_unit(Unit.of_key("abc")))
    assert set(touched) == {first, second, pin_page}, touched
    assert len(touched[first]) == len(touched[second]) == PAGE_UNITS
    assert all(unit.kind == UnitKind.HASH_BUCKET for unit in touched[first])


@given("the units of every server have been listed")
def step_list_units(context):
    assert len(context.placement.map.units_of("s0")) == BUCKETS
    assert not context.placement.map.units_of("s1")


@when("bucket {bucket:d} moves to {owner}, then bucket 300 to s1 and back to s0")
def step_move_bucket(context, bucket, owner):
    for number, server in ((bucket, owner), (300, "s1"), (300, "s0")):
        unit = Unit.of_bucket(number)
        moved = pages.move_units(context.placement.page(unit), {unit: server}, STAMP)
        context.placement.take(moved.unwrap())


@then("the units of s0 and s1 are those of a map that reads the pages afresh")
def step_units_afresh(context):
    fresh = UnitMap(SERVICE, BUCKETS)
    for page in context.placement.pages.values():
        fresh.apply(page)
    for server in ("s0", "s1"):
        assert context.placement.map.units_of(server) == fresh.units_of(server), server
