"""Steps for rpc frames."""

import struct

from behave import given, then, when
from hypothesis import given as generated
from hypothesis import settings
from hypothesis import strategies as st
from result import Err, Ok

from nutmeglead._generated.messages.ttypes import Envelope, MessageType
from nutmeglead.rpc.errors import FrameTooLarge
from nutmeglead.rpc.frames import FrameDecoder, encode_frame

LIMIT_BYTES = 1000
DAMAGE = {
    "a huge length": lambda frame: struct.pack("!I", 2**32 - 1) + frame[4:],
    "a length of zero": lambda frame: struct.pack("!I", 0),
    "a truncated envelope": lambda frame: struct.pack("!I", 5) + frame[4:9],
    "random bytes": lambda frame: struct.pack("!I", 6) + b"GET / ",
}
ENVELOPES = st.lists(
    st.builds(
        Envelope,
        st.sampled_from(MessageType),
        st.integers(0, 2**63 - 1),
        st.booleans(),
        st.binary(max_size=40),
    ),
    max_size=5,
)


class FrameScenario:
    def __init__(self):
        self.envelopes = [Envelope(MessageType.DIGEST, n, False, b"body") for n in (1, 2)]
        self.frames = [encode_frame(envelope).unwrap() for envelope in self.envelopes]
        self.decoder = FrameDecoder(LIMIT_BYTES)


@given("the frames of two envelopes")
def step_frames(context):
    context.frames = FrameScenario()


@when("the second frame is damaged by {damage}")
def step_damage(context, damage):
    scenario = context.frames
    scenario.frames[1] = DAMAGE[damage](scenario.frames[1])


@when("the last byte is missing")
def step_cut(context):
    context.frames.frames[1] = context.frames.frames[1][:-1]


@then("the decoder reports {error} for every later byte")
def step_error_stays(context, error):
    again = context.frames.decoder.feed(context.frames.frames[0])
    assert isinstance(again, Err) and type(again.err_value).__name__ == error, again


@then("the decoder reports {error}")
def step_error(context, error):
    result = context.frames.decoder.feed(b"".join(context.frames.frames))
    assert isinstance(result, Err) and type(result.err_value).__name__ == error, result


@then("the decoder returns one envelope and holds a partial frame")
def step_partial(context):
    scenario = context.frames
    assert scenario.decoder.feed(b"".join(scenario.frames)) == Ok(scenario.envelopes[:1])
    assert scenario.decoder.has_partial_frame


@then("encoding an envelope above the frame limit gives FrameTooLarge")
def step_too_large(context):
    envelope = Envelope(MessageType.DIGEST, 1, False, bytes(LIMIT_BYTES))
    result = encode_frame(envelope, LIMIT_BYTES)
    assert isinstance(result, Err) and isinstance(result.err_value, FrameTooLarge), result


@then("envelopes decode to the same list however their bytes are divided")
def step_divided(context):
    @settings(derandomize=True, deadline=None, max_examples=200)
    @generated(ENVELOPES, st.lists(st.integers(1, 60), max_size=20))
    def check(envelopes, sizes):
        stream = b"".join(encode_frame(envelope).unwrap() for envelope in envelopes)
        decoder, decoded = FrameDecoder(), []
        for size in sizes:
            decoded += decoder.feed(stream[:size]).unwrap()
            stream = stream[size:]
        decoded += decoder.feed(stream).unwrap()
        assert decoded == envelopes and not decoder.has_partial_frame

    check()
