"""Steps for the encoding of Thrift structs."""

from behave import given, then, when
from result import Err, Ok

from nutmeglead._generated.peers.ttypes import Life, RangeMap
from nutmeglead.core.codec import decode, encode
from nutmeglead.core.errors import CodecError

DAMAGES = {
    "truncation": lambda data: data[: len(data) // 2],
    "emptying": lambda data: b"",
    "unknown type": lambda data: b"\x1f\xff" + data[2:],
}


class CodecScenario:
    def __init__(self):
        self.message = RangeMap(
            service_name="lagerblick",
            version=7,
            epoch=2,
            fence=9,
            servers=[Life("lb-01", 1), Life("lb-02", 2)],
            first_keys=[0, 1_000, 40_000],
            owners=[0, 1, -1],
            fences=[4, 9, 0],
            pending=[1],
            previous={1: [0]},
            witness_sets=[["entry-1"]],
        )
        self.data = encode(self.message)

    def damage(self, kind):
        self.data = DAMAGES[kind](self.data)


@given("a range map with a pending range")
def step_range_map(context):
    context.codec = CodecScenario()


@when("it is encoded and decoded")
def step_round_trip(context):
    context.decoded = decode(RangeMap, context.codec.data)


@when("its encoding is damaged by {kind}")
def step_damage(context, kind):
    context.codec.damage(kind)


@then("the decoded map equals the original")
def step_equal(context):
    assert context.decoded == Ok(context.codec.message), context.decoded


@then("decoding gives a CodecError")
def step_codec_error(context):
    decoded = decode(RangeMap, context.codec.data)
    assert isinstance(decoded, Err) and isinstance(decoded.err_value, CodecError), decoded
