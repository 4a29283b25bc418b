"""Build placement pages and strategies over them."""

import random

from hypothesis import strategies as st

from nutmeglead._generated.common.ttypes import Sender, UnitId, UnitKind
from nutmeglead._generated.messages.ttypes import PlacementPage, PreviousHolder
from nutmeglead.dissemination.pages import encode_page

SERVICE = "lagerblick"
SENDER = Sender("entry-01", "1")
SERVERS = [f"lb-{number:02d}" for number in range(12)]


def make_page(version, pins=False, number=0, units=16, seed=0, service=SERVICE):
    """Return a page whose content depends on its number and version."""
    rng = random.Random(f"{seed}/{pins}/{number}/{version}")
    servers = rng.sample(SERVERS, rng.randint(1, len(SERVERS)))
    count = rng.randint(0, units) if pins else units
    page = PlacementPage(
        service_name=service,
        pins=pins,
        page_number=number,
        version=version,
        role_epoch=rng.randint(1, 3),
        ticket_number=version,
        servers=servers,
        owners=[rng.randint(-1, len(servers) - 1) for _ in range(count)],
        epochs=[rng.randint(1, version + 1) for _ in range(count)],
        previous={},
        epoch_floor=rng.randint(0, 5),
    )
    for position in rng.sample(range(count), rng.randint(0, min(count, 3))):
        page.previous[position] = [PreviousHolder(rng.choice(SERVERS), rng.randint(1, 9))]
    if pins:
        keys = rng.sample(range(100), count)
        page.units = [UnitId(kind=UnitKind.EXACT, key=f"key-{key}") for key in keys]
    return page


def page_pairs():
    """Generate two successive versions of a page that share some, all or no units."""
    return st.builds(
        lambda pins, units, seeds, versions: (
            make_page(versions[0], pins, units=units, seed=seeds[0]),
            make_page(versions[0] + versions[1], pins, units=units, seed=seeds[1]),
        ),
        st.booleans(),
        st.integers(0, 20),
        st.tuples(st.integers(0, 50), st.integers(0, 50)),
        st.tuples(st.integers(1, 9), st.integers(1, 9)),
    )


def same(left, right):
    """Tell whether two pages are equal, whatever the order of their maps."""
    if left is None or right is None:
        return left is right
    return encode_page(left) == encode_page(right)
