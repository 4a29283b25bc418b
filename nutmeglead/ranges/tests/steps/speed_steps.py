"""Steps for the estimates of servers' service times."""

from behave import given, then

from nutmeglead.ranges.speed import ServerSpeeds

TAGS = (1, 2)
REPORT_INTERVAL_MS = 500


@given("servers whose reports say {count:d} answers of 0 ms each")
def step_reports(context, count):
    context.speeds = ServerSpeeds()
    context.now_ms = 0
    for _ in range(20):
        context.now_ms += REPORT_INTERVAL_MS
        for tag in TAGS:
            context.speeds.add(tag, count, 0.0, context.now_ms)


@then("the service time that is expected of each is at least {time_ms:d} ms")
def step_expected(context, time_ms):
    for tag in TAGS:
        assert context.speeds.expected_time_ms(tag, context.now_ms) >= time_ms


@then("a later report of {time_ms:d} ms raises it")
def step_raises(context, time_ms):
    before_ms = context.speeds.expected_time_ms(TAGS[0], context.now_ms)
    context.speeds.add(TAGS[0], 100, float(time_ms), context.now_ms)
    assert context.speeds.expected_time_ms(TAGS[0], context.now_ms) > before_ms
