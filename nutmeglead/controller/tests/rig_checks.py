"""Check a rig's invariants after every event and measure how long keys are without service."""

from nutmeglead._generated.messages.ttypes import PlacementPage, RoleRow, ServerRow
from nutmeglead.core.codec import decode
from nutmeglead.ownership.keys import unit_from_id

CLAIMED_KEYS = ("auftrag-1", "auftrag-2", "auftrag-3")


class RigChecks:
    def __init__(self, rig):
        self.rig = rig
        self.keys = [f"teil-{n}" for n in range(rig.options.key_count)] + list(CLAIMED_KEYS)
        self.serving = {}  # server name: keys with the unit and epoch at which they are served
        self.served_epochs = {}
        self.epochs = {}
        self.row_versions = {}
        self.is_safe = True
        self.since_ms = dict.fromkeys(self.keys)  # when a key lost its serving owner
        self.gaps = []  # (key, from, until)

    def server_changed(self, server, operation):
        """Compute what a server serves and check that it is alone."""
        known = self.serving.get(server.name)
        if operation == "renew" and known and self._is_current(server, known):
            return
        self._refresh(server)
        for key, place in self.serving[server.name].items():
            self._check_alone(server, key)
            self._check_epoch(server, key, *place)

    def _refresh(self, server):
        now_ms = server.clock_ms()
        if server.is_dead:
            self.serving[server.name] = {}
            return
        found = {key: server.holder.serves(key, now_ms) for key in self.keys}
        self.serving[server.name] = {key: place for key, place in found.items() if place}

    def _is_current(self, server, known):
        key, place = next(iter(known.items()))
        return server.holder.serves(key, server.clock_ms()) == place

    def _check_alone(self, server, key):
        for other in self.rig.servers.values():
            if other is not server and key in self.serving.get(other.name, ()):
                holds = other.holder.holds(key, other.clock_ms())
                message = f"{self.rig.now_ms} ms: {key} is held by {server.name} and {other.name}"
                assert not holds, message

    def _check_epoch(self, server, key, unit, epoch):
        last, name = self.served_epochs.get(unit, (0, server.name))
        assert epoch >= last, f"{self.rig.now_ms} ms: {unit} served at {epoch} after {last}"
        same = epoch > last or name == server.name
        assert same, f"{self.rig.now_ms} ms: {unit} served at {epoch} by {name}, {server.name}"
        self.served_epochs[unit] = (epoch, server.name)

    def table_changed(self):
        """Check that no version or epoch of the table went back."""
        for row in self.rig.table._rows.values():
            if self.row_versions.get(row.key, 0) != row.version:
                assert row.version > self.row_versions.get(row.key, 0), row.key
                self.row_versions[row.key] = row.version
                for place, epoch in _epochs(row):
                    last = self.epochs.get(place, -1)
                    assert epoch >= last, f"{place} went back from {last} to {epoch}"
                    self.epochs[place] = epoch

    def sample(self):
        """Note which keys a server that answers serves at this time."""
        rig = self.rig
        rig.network.at(rig.now_ms + rig.options.sample_ms, self.sample)
        served = self._served()
        for key in self.keys:
            is_served = key in served
            if not is_served and self.since_ms[key] is None:
                self.since_ms[key] = rig.now_ms
            elif is_served and self.since_ms[key] is not None:
                self.gaps.append((key, self.since_ms[key], rig.now_ms))
                self.since_ms[key] = None

    def _served(self):
        """Map the keys that are served now to the servers that serve them and answer."""
        found = {}
        for name, known in list(self.serving.items()):
            server = self.rig.servers[name]
            if not known or not server.is_running:
                continue
            if not self._is_current(server, known):
                self._refresh(server)
            found.update(dict.fromkeys(self.serving[name], name))
        return found

    def server_of(self, key):
        """Return the server that serves a key and answers, or None."""
        return self._served().get(key)

    def unserved(self):
        served = self._served()
        return [key for key in self.keys if key not in served]

    def longest_gap_ms(self, since_ms):
        """Return the longest time since a moment in which a key had no serving owner."""
        open_gaps = [(k, s, self.rig.now_ms) for k, s in self.since_ms.items() if s is not None]
        gaps = [until - max(begun, since_ms) for _, begun, until in self.gaps + open_gaps]
        return max([0, *gaps])

    def served_again_ms(self, since_ms):
        """Return how long after a moment the last key was served again for good."""
        assert not self.unserved(), self.unserved()
        return max([0, *(until - since_ms for _, _, until in self.gaps)])


def _epochs(row):
    """List what must never go back in a row, with its place."""
    if row.key.startswith("role/"):
        yield (row.key,), decode(RoleRow, row.value).unwrap().epoch
    elif row.key.startswith("server/"):
        yield (row.key,), decode(ServerRow, row.value).unwrap().current.lease_epoch
    elif row.key.startswith("page/"):
        page = decode(PlacementPage, row.value).unwrap()
        yield (row.key, "version"), page.version
        units = [unit_from_id(unit) for unit in page.units or []] if page.pins else None
        for index, epoch in enumerate(page.epochs):
            yield (row.key, units[index] if units else index), epoch


__all__ = ["CLAIMED_KEYS", "RigChecks"]
