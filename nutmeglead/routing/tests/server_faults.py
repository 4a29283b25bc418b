"""Script how a fake server misbehaves on one connection."""

import asyncio

from .fake_server import serve_healthily

CUT_BODY = b"x" * 100_000


async def reset_in_mid_request(side):
    await side.read_head()
    side.channel.transport.abort()


async def reset_after_request(side):
    await side.take_request()
    side.channel.transport.abort()


async def reset_in_mid_answer(side):
    await side.take_request()
    side.send(b"HTTP/1.1 200 X\r\ncontent-length: 100\r\n\r\npart")
    await asyncio.sleep(0)
    side.channel.transport.close()


async def reset_in_mid_file(side):
    await side.take_request()
    side.send(b"HTTP/1.1 200 X\r\ncontent-length: 200000\r\n\r\n" + CUT_BODY)
    for _ in range(20):
        await asyncio.sleep(0)
    side.channel.transport.abort()


async def close_after_request(side):
    await side.take_request()
    side.channel.transport.close()


async def stay_silent(side):
    while await side.take_request() is not None:
        pass


async def answer_late(side):
    request = await side.take_request()
    await side.server.thawed.wait()
    side.answer(b"late answer to " + request.target.encode())
    await serve_healthily(side)


async def answer_twice(side):
    request = await side.take_request()
    side.answer(b"first " + request.target.encode())
    side.answer(b"second " + request.target.encode())
    await serve_healthily(side)


async def answer_again_when_idle(side):
    request = await side.take_request()
    side.answer(b"first " + request.target.encode())
    await side.server.thawed.wait()
    side.answer(b"second " + request.target.encode())
    await serve_healthily(side)


async def answer_unasked(side):
    side.answer(b"nobody asked")
    await serve_healthily(side)


def _send_raw(answer):
    async def script(side):
        await side.take_request()
        side.send(answer)
        await serve_healthily(side)

    return script


async def answer_another_request(side):
    await side.take_request()
    side.answer(b"not yours", extra=b"nutmeglead-request: 999999\r\n")
    await serve_healthily(side)


async def send_endless_head(side):
    await side.take_request()
    side.send(b"HTTP/1.1 200 X\r\n")
    for _ in range(100):
        side.send(b"x-filler: " + b"y" * 1000 + b"\r\n")
        await asyncio.sleep(0)


async def read_nothing(side):
    await side.server.thawed.wait()


async def close_when_idle(side):
    request = await side.take_request()
    side.answer(b"first " + request.target.encode())
    await side.server.thawed.wait()
    side.channel.transport.close()


def _refuse(status, reason, body=b"{}"):
    async def script(side):
        while (request := await side.read_head()) is not None:
            if not await side.read_rest(request):
                return
            side.answer(body, status, b"nutmeglead-refusal: " + reason + b"\r\n")

    return script


async def refuse_once(side):
    request = await side.read_head()
    await side.read_rest(request)
    side.answer(b"{}", 503, b"nutmeglead-refusal: overloaded\r\n")
    await serve_healthily(side)


async def refuse_early(side):
    await side.read_head()
    side.answer(b"{}", 421, b"nutmeglead-refusal: not-owner\r\n")
    await side.server.thawed.wait()


HEAD = b"HTTP/1.1 200 X\r\n"

FAULTS = {
    "resets in mid request": reset_in_mid_request,
    "resets after the request": reset_after_request,
    "closes after the request": close_after_request,
    "cuts the answer": reset_in_mid_answer,
    "cuts the file": reset_in_mid_file,
    "stays silent": stay_silent,
    "freezes and comes back": answer_late,
    "answers twice": answer_twice,
    "answers again later": answer_again_when_idle,
    "answers unasked": answer_unasked,
    "closes when idle": close_when_idle,
    "answers another request": answer_another_request,
    "sends too long a body": _send_raw(HEAD + b"content-length: 4\r\n\r\nfourfive"),
    "sends a broken chunk": _send_raw(HEAD + b"transfer-encoding: chunked\r\n\r\nZZ\r\nfour"),
    "sends both lengths": _send_raw(
        HEAD + b"content-length: 4\r\ntransfer-encoding: chunked\r\n\r\n4\r\nfour\r\n0\r\n\r\n"
    ),
    "sends two lengths": _send_raw(HEAD + b"content-length: 4\r\ncontent-length: 9\r\n\r\nfour"),
    "sends no length": _send_raw(HEAD + b"\r\nfour"),
    "sends no HTTP": _send_raw(b"\x16\x03\x01 hello\r\n\r\n"),
    "floods the head": send_endless_head,
    "sends 100 and 103 first": _send_raw(
        b"HTTP/1.1 100 X\r\n\r\nHTTP/1.1 103 X\r\n\r\n" + HEAD + b"content-length: 4\r\n\r\nfour"
    ),
    "sends only 100": _send_raw(b"HTTP/1.1 100 X\r\n\r\n"),
    "switches protocols": _send_raw(b"HTTP/1.1 101 X\r\nupgrade: x\r\n\r\n"),
    "says that it closes": _send_raw(HEAD + b"connection: close\r\ncontent-length: 4\r\n\r\nfour"),
    "reads nothing": read_nothing,
    "sheds load": _refuse(503, b"overloaded"),
    "sheds one request": refuse_once,
    "refuses with an endless body": _refuse(503, b"overloaded", b"x" * 100_000),
    "refuses early": refuse_early,
    "fails by itself": _send_raw(b"HTTP/1.1 503 X\r\ncontent-length: 4\r\n\r\nfour"),
}
