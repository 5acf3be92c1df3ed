"""Datagrams over UDP."""

from __future__ import annotations

import asyncio

import attrs

from ._membership import Receive


class _Receiver(asyncio.DatagramProtocol):
    """Hands datagrams to the membership."""

    def __init__(self, receive: Receive) -> None:
        self._receive = receive

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self._receive(data, f"{addr[0]}:{addr[1]}")

    def error_received(self, exc: Exception) -> None:
        # The peer's port is closed; the missing answer says the same.
        pass


@attrs.define(eq=False)
class UdpEndpoint:
    """One UDP socket."""

    transport: asyncio.DatagramTransport

    def send(self, data: bytes, address: str) -> None:
        """See ``Endpoint.send``."""
        host, _, port = address.rpartition(":")
        if not self.transport.is_closing():
            self.transport.sendto(data, (host, int(port)))

    def close(self) -> None:
        """See ``Endpoint.close``."""
        self.transport.close()


async def open_udp_endpoint(host: str, port: int, receive: Receive) -> UdpEndpoint:
    """Open a UDP socket.

    Args:
        host: Address to listen on.
        port: Port to listen on.
        receive: Takes what arrives.
    """
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_datagram_endpoint(
        lambda: _Receiver(receive), local_addr=(host, port)
    )
    return UdpEndpoint(transport)
