"""Read the platform's VM list over HTTP: GET /vms."""

import json
from typing import Any

from result import Err, Ok, Result

from nutmeglead._generated.common.ttypes import Address
from nutmeglead.core.ids import FailureDomainName, Incarnation
from nutmeglead.http.client import HttpFetcher
from nutmeglead.http.messages import RequestHead
from nutmeglead.platform.errors import VmListUnavailable
from nutmeglead.platform.ports import VmEntry, VmState

__all__ = ["HttpVmList", "vm_to_json"]


def vm_to_json(entry: VmEntry) -> dict[str, Any]:
    """Return the wire form of a VM."""
    return {**entry.__dict__, "state": entry.state.value}


def _vm_from_json(data: dict[str, Any]) -> VmEntry:
    return VmEntry(
        vm_id=str(data["vm_id"]),
        role=str(data["role"]),
        ip=str(data["ip"]),
        port=int(data["port"]),
        failure_domain=FailureDomainName(data["failure_domain"]),
        state=VmState(data["state"]),
        incarnation=Incarnation(data["incarnation"]),
    )


def _vms_from_json(data: list[dict[str, Any]]) -> list[VmEntry]:
    # An empty object would else pass as a list without VMs.
    if not isinstance(data, list):
        raise TypeError("expected a list of VMs")
    return [_vm_from_json(entry) for entry in data]


class HttpVmList:
    """Implement the VmList port."""

    def __init__(self, address: Address, request_timeout_ms: int, fetcher: HttpFetcher) -> None:
        self._address = address
        self._timeout_ms = request_timeout_ms
        self._fetcher = fetcher

    async def read(self) -> Result[list[VmEntry], VmListUnavailable]:
        """Return the VMs that the platform knows."""
        head = RequestHead(b"GET", b"/vms")
        address = self._address
        fetched = await self._fetcher.fetch(address.ip, address.port, head, b"", self._timeout_ms)
        if isinstance(fetched, Err):
            return Err(VmListUnavailable(str(fetched.err_value)))
        response, body = fetched.ok_value
        if response.status != 200:
            return Err(VmListUnavailable(f"status {response.status}"))
        try:
            return Ok(_vms_from_json(json.loads(body)))
        except (ValueError, KeyError, TypeError) as error:
            return Err(VmListUnavailable(f"unreadable list: {error}"))
