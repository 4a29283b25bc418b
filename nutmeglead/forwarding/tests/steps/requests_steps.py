"""Steps that send requests through a forwarder to scripted servers on loopback."""

import re

from behave import given, then, when

from nutmeglead.core.events import Event
from nutmeglead.entry.tests.collected_events import collect
from nutmeglead.forwarding.tests.request_scenario import SAFE, UNSAFE, RequestScenario, request


@given("a first server that {behaviour}")
def step_first_server(context, behaviour):
    context.request_scenario = RequestScenario(behaviour)


@given("an owner of all keys that {behaviour}")
def step_first_server_with_keys(context, behaviour):
    context.request_scenario = RequestScenario(behaviour)
    context.request_scenario.has_keys = True


@given("no server that listens")
def step_no_server(context):
    context.request_scenario = RequestScenario(is_listening=False)


@when("a caller sends {kind} request with {left_ms:d} ms left and reads to the end")
def step_send_and_read(context, kind, left_ms):
    scenario = context.request_scenario
    raw = request(kind, left_ms)
    scenario.actions.append(lambda: scenario.send_and_read_to_the_end(raw))


@when("an HTTP/1.0 caller reads the answer to a safe request")
def step_send_http_1_0(context):
    scenario = context.request_scenario
    raw = request(SAFE).replace(b"HTTP/1.1", b"HTTP/1.0")
    scenario.actions.append(lambda: scenario.send_and_read_to_the_end(raw))


@then("the caller's connection is reset or its answer is shorter than its length")
def step_reset_or_short(context):
    scenario = run_once(context)
    is_short = scenario.stated_length is not None and (
        len(scenario.received_body) < scenario.stated_length
    )
    assert scenario.is_reset or is_short, (scenario.stated_length, len(scenario.received_body))


@then("the caller's connection ends without the last chunk")
def step_caller_cut(context):
    assert run_once(context).is_cut


@then("nothing is held for the callers in the end")
def step_nothing_held(context):
    held = run_once(context).http_server.held
    assert held.total_bytes == 0, held.total_bytes


@then("the first server counts as failing and its connection is closed")
def step_counts_as_failing(context):
    scenario = run_once(context)
    assert scenario.failure_score > 0 and scenario.first.disconnect_count == 1, (
        scenario.failure_score,
        scenario.first.disconnect_count,
    )


@then("it could send at most {size_mb:d} MB")
def step_sent(context, size_mb):
    assert run_once(context).first.sent_bytes <= size_mb * 1_000_000, context.request_scenario.first


@when("a caller sends an unsafe request with a body of {size_bytes:d} bytes")
def step_send_large(context, size_bytes):
    scenario = context.request_scenario
    raw = request(UNSAFE, body="x" * size_bytes)
    scenario.actions.append(lambda: scenario.send(raw))


@when("a caller sends {count:d} safe requests at once and reads to the end")
def step_send_at_once(context, count):
    scenario = context.request_scenario
    raw = b"".join(request(SAFE, request_id=f"r{number}") for number in range(count))
    # The last request closes the connection.
    raw = raw[: raw.rindex(b"\r\n\r\n")] + b"\r\nConnection: close\r\n\r\n"
    scenario.actions.append(lambda: scenario.send_and_read_to_the_end(raw))


@then("it has received {count:d} answers, in the order of its requests")
def step_received_answers(context, count):
    received = run_once(context).received.decode()
    ids = re.findall(r"x-request-id: (\w+)", received, re.IGNORECASE)
    assert ids == [f"r{number}" for number in range(count)], received
    assert received.count("HTTP/1.1") == received.count("whole") == count, received


@then("the first server has received bodies of {first:d} and {second:d} bytes on 1 connection")
def step_received_bodies(context, first, second):
    scenario = context.request_scenario
    # The server reads the last body only after its answer.
    scenario.actions.append(lambda: scenario.wait_for_requests(2))
    server = run_once(context).first
    sizes = [len(body) for _, _, body in server.requests]
    assert (sizes, server.connection_count) == ([first, second], 1), (
        sizes,
        server.connection_count,
    )


@when("a caller sends {kind} request with {left_ms:d} ms left")
def step_send_with_deadline(context, kind, left_ms):
    context.request_scenario.actions.append(
        lambda: context.request_scenario.send(request(kind, left_ms))
    )


@when("a caller sends a safe request and disconnects")
def step_send_and_disconnect(context):
    context.request_scenario.actions.append(context.request_scenario.send_and_disconnect)


@when("a caller sends a safe request and the process ends its connection")
def step_send_and_be_cut_off(context):
    context.request_scenario.actions.append(context.request_scenario.send_and_be_cut_off)


@then("the log says {outcome} and that the attempt at the first server was in progress")
def step_logged_outcome(context, outcome):
    collected = collect(context, "nutmeglead.forwarding.request_log")
    run_once(context)
    fields = collected.fields_of(Event.REQUEST_FAILED)[-1]
    assert fields["outcome"] == outcome, fields
    assert fields["attempts"] == ["first:in progress"], fields


@when("a caller sends two safe requests and disconnects after the answer to the second")
def step_send_ahead_and_disconnect(context):
    context.request_scenario.actions.append(context.request_scenario.send_ahead_and_disconnect)


@then("the log counts both as caller-left")
def step_both_left(context):
    counts = run_once(context).forwarder.log.outcomes
    assert [(key[-1], count) for key, count in counts.items()] == [("caller-left", 2)], counts


@when("a caller sends a request for the first server and then one without a route")
def step_send_pipelined(context):
    context.request_scenario.actions.append(context.request_scenario.send_pipelined)


@when("a caller sends a request {fault}")
def step_send_invalid(context, fault):
    scenario = context.request_scenario
    requests_by_fault = {
        "without a route": request("unrouted"),
        "without an id": request("anonymous"),
        "before any manifest": request(SAFE),
        "with two ways to frame it": request(
            UNSAFE, extra="Transfer-Encoding: chunked\r\nContent-Length: 5\r\n"
        ),
    }
    scenario.has_manifest = fault != "before any manifest"
    scenario.actions.append(lambda: scenario.send(requests_by_fault[fault]))


@when("a caller sends {kind} request")
def step_send(context, kind):
    context.request_scenario.actions.append(lambda: context.request_scenario.send(request(kind)))


def run_once(context):
    """Run the scenario's actions, unless they have run, and return the scenario."""
    if context.request_scenario.first is None:
        context.request_scenario.run()
    return context.request_scenario


def last_answer(context):
    """Return status, head in lower case and body of the last answer to a caller."""
    head, body = run_once(context).answers[-1]
    return int(head.split()[1]), head.lower(), body


@then("the caller gets {status:d} of the {server_id}")
def step_gets_answer_of_server(context, status, server_id):
    actual_status, _, body = last_answer(context)
    expected = server_id.encode() if status == 200 else b"error"
    assert (actual_status, body) == (status, expected), (actual_status, body)


@then('the caller gets {status:d} with "{body}"')
def step_gets_body(context, status, body):
    actual_status, _, actual_body = last_answer(context)
    assert (actual_status, actual_body) == (status, body.encode()), (actual_status, actual_body)


@then("the caller gets 503 with a Retry-After time")
def step_gets_retry_after(context):
    status, head, _ = last_answer(context)
    assert status == 503 and "retry-after: 0." in head, head


@then("the caller gets {status:d}")
def step_gets_status(context, status):
    actual_status, head, _ = last_answer(context)
    assert actual_status == status, head
    assert "x-response-signature" not in head, head


@then("{count:d} requests have arrived at servers")
def step_arrivals(context, count):
    scenario = run_once(context)
    arrived = len(scenario.first.requests) + len(scenario.second.requests)
    assert arrived == count, arrived


@then("the first server has seen {count:d} connections")
def step_first_server_connections(context, count):
    assert (
        run_once(context).first.connection_count == count
    ), context.request_scenario.first.connection_count


@then("the server's connection is closed")
def step_server_saw_disconnect(context):
    assert run_once(context).first.disconnect_count == 1


@then("the answers arrive in the order of the requests")
def step_answers_in_order(context):
    statuses = [int(head.split()[1]) for head, _ in run_once(context).answers]
    assert statuses == [200, 404], statuses


@then("the server has received at most {left_ms:d} ms and its own id")
def step_server_got_deadline_and_id(context, left_ms):
    _, headers, _ = run_once(context).first.requests[0]
    assert 0 < int(headers["x-deadline-ms"]) <= left_ms, headers
    assert headers["x-target-instance"] == "first", headers


@then("the node counts {count:d} requests at the first server, and the caller reads no load")
def step_counts_load(context, count):
    scenario = run_once(context)
    assert scenario.estimated_in_flight == count, scenario.estimated_in_flight
    assert all("x-instance-load" not in head.lower() for head, _ in scenario.answers)
