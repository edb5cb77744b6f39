"""Plays of streams that go on at processes that the list may not name yet."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace
from functools import partial
from typing import Final

from bulrushstream.daemon import platformupdates
from bulrushstream.daemon.front import Front
from bulrushstream.state.routes import EndpointEntry
from tests.checkedstreams import Endpoints, Play, Serving
from tests.crashingendpoints import REPORT_PATH
from tests.simulatedcallers import Caller
from tests.virtualnetwork import NetworkLoop, Transport

BORN: Final = "1"


class TellingServing(Serving):
    """An endpoint's end of a connection, which tells when it started."""

    _target = b""

    def on_url(self, url: bytes) -> None:
        self._target = url

    def on_message_complete(self) -> None:
        if self._target != REPORT_PATH.encode():
            super().on_message_complete()
            return
        report = b'{"born":%b}' % BORN.encode()
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n"
        self._transport.send(head % len(report) + report)


@dataclass(slots=True)
class ListedPlay(Play):
    """A play whose endpoints may start again under their ids."""

    born: str = BORN  # In their entries; empty: ids are not used again.
    reports: bool = False  # Whether they tell it when they are asked.

    def _start_endpoints(
        self, loop: NetworkLoop, front: Front, endpoints: Endpoints
    ) -> None:
        serve: Callable[[Endpoints, bytes, Transport], Serving] = Serving
        if self.reports:
            serve = TellingServing
        for number in range(endpoints.count):
            name, address = f"e-{number}", (f"10.1.0.{number}", 80)
            loop.listeners[address] = partial(serve, endpoints, name.encode())
            entry = EndpointEntry(name, "llm", *address, "z", 64)
            entry = replace(entry, version="v1", born=self.born)
            platformupdates.apply_entry(front, entry)


def read_list(front: Front, caller: Caller) -> None:
    """Have the router read the list, which names the same processes."""
    del caller
    front.streams.history.list_read(front.boot_clock())


def replace_all(front: Front, caller: Caller) -> None:
    """Have the router read that all processes are those of a release."""
    for known in list(front.pool.by_name.values()):
        entry = replace(known.entry, version="v2", born="2")
        platformupdates.apply_entry(front, entry)
    read_list(front, caller)
