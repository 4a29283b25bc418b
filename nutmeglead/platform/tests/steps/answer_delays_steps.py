"""Steps for the delays of answers, with explicit times."""

from behave import given, then, when

from nutmeglead.platform.answer_delays import AnswerDelays

START_MS = 1_000


@given(
    "a store whose clock is {ahead_ms:d} ms ahead, and a node that has received an answer after "
    "{transfer_ms:d} ms"
)
def step_store(context, ahead_ms, transfer_ms):
    context.delays, context.ahead_ms = AnswerDelays(), ahead_ms
    context.delays.delay_ms(START_MS + ahead_ms, START_MS + transfer_ms)


@when("{pause_ms:d} ms later another answer arrives after {transfer_ms:d} ms")
def step_answer(context, pause_ms, transfer_ms):
    sent_ms = START_MS + pause_ms
    context.delay_ms = context.delays.delay_ms(sent_ms + context.ahead_ms, sent_ms + transfer_ms)


@then("its delay is {delay_ms:d} ms")
def step_delay(context, delay_ms):
    assert context.delay_ms == delay_ms, context.delay_ms
