"""Be a backend server that follows a script on each connection and counts what it ran."""

import asyncio

import h11
from result import Err, Ok

from nutmeglead.http.channel import ByteChannel
from nutmeglead.http.client import ClientConnection
from nutmeglead.http.errors import ConnectFailed

from .memory_wire import join, settle


class ReceivedRequest:
    """Hold one request as the server saw it."""

    def __init__(self, event):
        self.method = event.method.decode()
        self.target = event.target.decode()
        self.headers = dict(event.headers)
        epochs = [value for name, value in event.headers if name == b"nutmeglead-epoch"]
        assert len(epochs) == 1, epochs
        self.epoch = int(epochs[0])
        self.body = b""


class ServerSide:
    """Be the server's end of one connection."""

    def __init__(self, server, channel):
        self.server = server
        self.channel = channel
        self.requests = []
        self._parser = h11.Connection(h11.SERVER)

    @property
    def is_closed_by_router(self):
        return self.channel.peer_gone.is_set() or self.channel.transport.is_closing()

    async def _event(self):
        while True:
            event = self._parser.next_event()
            if event is not h11.NEED_DATA:
                return event
            self._parser.receive_data(await self.channel.read())

    async def read_head(self):
        """Return the next request's head, or None at the end of the connection."""
        if self._parser.their_state is h11.DONE:
            # Scripts write raw bytes, so the parser's own side is advanced by hand.
            self._parser = h11.Connection(h11.SERVER)
            if self._rest:
                self._parser.receive_data(self._rest)
        try:
            event = await self._event()
        except h11.RemoteProtocolError:
            return None
        if not isinstance(event, h11.Request):
            return None
        request = ReceivedRequest(event)
        self.requests.append(request)
        return request

    async def read_rest(self, request):
        """Read the request's body to its end; return False if it was cut."""
        while True:
            try:
                event = await self._event()
            except h11.RemoteProtocolError:
                return False
            if isinstance(event, h11.Data):
                request.body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                self._rest = self._parser.trailing_data[0]
                return True
            else:
                return False

    async def take_request(self):
        """Return the next whole request, counted as run, or None."""
        request = await self.read_head()
        if request is None or not await self.read_rest(request):
            return None
        self.server.runs.append(request)
        return request

    def send(self, data):
        if not self.channel.transport.is_closing():
            self.channel.transport.write(data)

    def answer(self, body, status=200, extra=b"", is_head=False):
        head = b"HTTP/1.1 %d X\r\n%scontent-length: %d\r\n\r\n" % (status, extra, len(body))
        self.send(head if is_head else head + body)


async def serve_healthily(side):
    """Answer every request with its target and body."""
    while (request := await side.take_request()) is not None:
        side.answer(healthy_body(request), is_head=request.method == "HEAD")


def healthy_body(request):
    return f"{request.method} {request.target} ".encode() + request.body


class FakeServer:
    """Run a script per connection; `scripts` are used up one by one, then `default`."""

    def __init__(self, default=serve_healthily):
        self.default = default
        self.scripts = []
        self.sides = []
        self.runs = []
        self.connect_failures = 0
        self.connect_gate = None
        self.connecting = 0
        self.dies_before_first_byte = False
        self.settles_after_connect = False
        self.thawed = None
        self._tasks = set()

    def make_thaw(self):
        """Create the event that scripts wait for; it belongs to the running loop."""
        self.thawed = asyncio.Event()

    async def connect(self, address):
        self.connecting += 1
        if self.connect_gate is not None:
            await self.connect_gate.wait()
        if self.connect_failures:
            self.connect_failures -= 1
            return Err(ConnectFailed(f"{address.ip}:{address.port}", "connection refused"))
        near, far = ByteChannel(), ByteChannel()
        join(near, far)
        side = ServerSide(self, far)
        self.sides.append(side)
        if self.dies_before_first_byte:
            self.dies_before_first_byte = False
            far.transport.abort()
            await near.peer_gone.wait()
        else:
            script = self.scripts.pop(0) if self.scripts else self.default
            task = asyncio.ensure_future(script(side))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            if self.settles_after_connect:
                await settle()
        return Ok(ClientConnection(near))

    @property
    def requests(self):
        return [request for side in self.sides for request in side.requests]

    def stop(self):
        for task in self._tasks:
            task.cancel()
