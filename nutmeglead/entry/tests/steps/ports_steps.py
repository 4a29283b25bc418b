"""Steps for ports that are not free, on virtual time."""

from behave import given, then, when

from nutmeglead.emulator.network import EmulatedLoop
from nutmeglead.emulator.virtual_time import run_virtual
from nutmeglead.entry.ports import PortBinder


@given("a port that another process holds for {free_ms:d} ms")
def step_held(context, free_ms):
    context.free_ms = free_ms


@when("a process binds it as {kind}")
def step_binds(context, kind):
    async def run(clock):
        started_ms = clock.now_ms()

        async def listen(ip, port):
            if clock.now_ms() - started_ms < context.free_ms:
                raise OSError("the address is in use")

        binder = PortBinder("10.1.0.1", clock)
        bind = binder.bind if kind == "required" else binder.bind_optional
        try:
            await bind(listen, 8_000)
            context.result = "has the port"
        except OSError:
            context.result = "has given up"
        context.duration_ms = clock.now_ms() - started_ms

    run_virtual(run, EmulatedLoop(1))


@then("it {result} after at most {bound_ms:d} ms")
def step_result(context, result, bound_ms):
    assert context.result == result, context.result
    assert context.duration_ms <= bound_ms, context.duration_ms
