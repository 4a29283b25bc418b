"""Steps for the thrift codec."""

from behave import given, then, when
from result import Err, Ok

from nutmeglead._generated.messages.ttypes import PlacementPage, PreviousHolder
from nutmeglead.core.codec import decode, encode
from nutmeglead.core.errors import CodecError

DAMAGE = {
    "truncation": lambda data: data[: len(data) // 2],
    "emptying": lambda data: b"",
    "unknown type": lambda data: b"\x1f\xff" + data[2:],
}


class CodecScenario:
    def __init__(self):
        self.page = PlacementPage(
            service_name="lagerblick",
            pins=False,
            page_number=3,
            version=7,
            role_epoch=2,
            ticket_number=5,
            servers=["lb-01", "lb-02"],
            owners=[0, 1, -1],
            epochs=[4, 9, 0],
            previous={1: [PreviousHolder("lb-01", 8)]},
        )
        self.data = encode(self.page)

    def damage(self, kind):
        self.data = DAMAGE[kind](self.data)


@given("a placement page with previous holders")
def step_page(context):
    context.codec = CodecScenario()


@when("it is encoded and decoded")
def step_round_trip(context):
    context.decoded = decode(PlacementPage, context.codec.data)


@when("its encoding is damaged by {kind}")
def step_damage(context, kind):
    context.codec.damage(kind)


@then("the decoded page equals the original")
def step_equal(context):
    assert context.decoded == Ok(context.codec.page), context.decoded


@then("decoding gives a CodecError")
def step_error(context):
    decoded = decode(PlacementPage, context.codec.data)
    assert isinstance(decoded, Err) and isinstance(decoded.err_value, CodecError), decoded
