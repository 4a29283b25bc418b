"""Generate the items of small tickets that often overlap."""

from hypothesis import strategies as st

from nutmeglead._generated.tickets.ttypes import ServerState
from nutmeglead.tickets.tests.samples import claim, server

__all__ = ["ticket_items"]

# Ranges are drawn from the key numbers below this one, so that many of them overlap.
KEY_NUMBER_COUNT = 16
_server_ids = st.sampled_from(["lb-01", "lb-02", "lb-03"])
_owners = st.one_of(st.none(), _server_ids)


def _range_claim(owner, ends):
    return claim(owner, first_number=min(ends), last_number=max(ends))


_servers = st.builds(server, _server_ids, st.sampled_from(list(ServerState)))
_range_ends = st.tuples(st.integers(0, KEY_NUMBER_COUNT - 1), st.integers(0, KEY_NUMBER_COUNT - 1))
_claims = st.one_of(
    st.builds(
        lambda owner, key: claim(owner, key=key), _owners, st.sampled_from(["a", "a/b", "b"])
    ),
    st.builds(_range_claim, _owners, _range_ends),
)
ticket_items = st.one_of(
    st.fixed_dictionaries({"servers": st.lists(_servers, min_size=1, max_size=1)}),
    st.fixed_dictionaries({"claims": st.lists(_claims, min_size=1, max_size=1)}),
    st.fixed_dictionaries(
        {
            "servers": st.lists(_servers, max_size=2, unique_by=lambda item: item.server_id),
            "claims": st.lists(_claims, min_size=1, max_size=1),
        }
    ),
)
