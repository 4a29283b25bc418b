"""Answer the load balancer's question whether this node should get callers."""

import json
from collections.abc import Sequence

from nutmeglead.http.exchange import CallerExchange
from nutmeglead.platform.wire import READY_TARGET

__all__ = ["answer_readiness"]


async def answer_readiness(exchange: CallerExchange, missing: Sequence[str]) -> None:
    """Answer with status 200 if nothing is missing, else 503 with the reasons."""
    if exchange.head.target.partition(b"?")[0] != READY_TARGET:
        await exchange.respond(404, [], b"")
        return
    body = json.dumps({"ready": not missing, "missing": list(missing)}).encode()
    await exchange.respond(503 if missing else 200, [], body)
