"""Steps for the finder of hot keys."""

import random
from collections import Counter

from behave import given, then, when

from nutmeglead.placement.hotkeys import HotKeyFinder


class HotKeyScenario:
    def __init__(self, max_keys, every):
        self.finder = HotKeyFinder(max_keys, every, random.Random(7))
        self.truth = Counter()

    def see(self, keys):
        self.truth.update(keys)
        for key in keys:
            self.finder.count(key)


def _zipf(rng, names, requests):
    weights = [(rank + 1) ** -0.8 for rank in range(len(names))]
    return rng.choices(names, weights=weights, k=requests)


@given("a finder of {keys:d} keys that counts one in {every:d} requests")
def step_finder(context, keys, every):
    context.hot = HotKeyScenario(keys, every)


@when('it sees {requests:d} Zipf requests for {keys:d} keys in which "gear" has {share:d}% of all')
def step_zipf(context, requests, keys, share):
    rng = random.Random(20261204)
    gears = requests * share // 100
    seen = _zipf(rng, [f"part-{i}" for i in range(keys)], requests - gears) + ["gear"] * gears
    rng.shuffle(seen)
    context.hot.see(seen)
    context.found = context.hot.finder.take_window()


@then('"gear" is the hottest key, estimated within {error:d}% of its requests')
def step_hottest(context, error):
    key, count = context.found[0]
    assert key == "gear", context.found[:3]
    assert abs(count / context.hot.truth["gear"] - 1.0) <= error / 100, count


@then("at least {count:d} of the 20 most frequent keys are found")
def step_found(context, count):
    found = {key for key, _ in context.found}
    hottest = {key for key, _ in context.hot.truth.most_common(20)}
    assert len(hottest & found) >= count, hottest - found


@then("no more than {count:d} keys are kept")
def step_bounded(context, count):
    assert len(context.found) <= count, len(context.found)


@when("the hottest 240 keys change from one window to the next")
def step_windows(context):
    rng = random.Random(3)
    for name in ("old", "new"):
        context.hot.see(rng.choices([f"{name}-{i}" for i in range(240)], k=20_000))
        context.found = context.hot.finder.take_window()


@then("the second window has only keys of the second set")
def step_second(context):
    assert len(context.found) == 240
    assert all(key.startswith("new-") for key, _ in context.found), context.found


@when("it sees {keys:d} keys in a fixed cycle of {length:d} for {requests:d} requests")
def step_cycle(context, keys, length, requests):
    context.hot.see([f"part-{i % length}" for i in range(requests)])
    context.found = context.hot.finder.take_window()


@then("each of the {keys:d} keys is estimated within {error:d}% of {count:d} requests")
def step_each(context, keys, error, count):
    assert len(context.found) == keys, context.found
    assert all(abs(n / count - 1.0) <= error / 100 for _, n in context.found), context.found


@then("a finder that counts one in 0 requests is refused")
def step_refused(context):
    try:
        HotKeyFinder(240, 0, random.Random(1))
    except ValueError as error:
        assert "1 or more" in str(error)
    else:
        raise AssertionError("a sampling rate of 0 was accepted")
