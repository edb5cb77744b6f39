"""The `Dialect` of the users' platform."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from bulrushstream.platform.documents import decode_config, decode_entry
from bulrushstream.platform.headers import (
    decode_answer,
    decode_call,
    decode_probe,
    encode_probe,
    encode_request,
    refusal_headers,
)
from bulrushstream.platform.nodefile import read_node_file
from bulrushstream.platform.store import StoreClient
from bulrushstream.protocol.dialect import Dialect, Topics
from bulrushstream.protocol.keyedstore import KeyedStore
from bulrushstream.state.nodesettings import Address
from bulrushstream.transport.upstream import Pool


def make_store(
    address: Address,
    clock: Callable[[], float],
    count_call: Callable[[str, bool], None],
) -> KeyedStore:
    """Return a client of the platform's store.

    :param address: the store's address
    :param clock: a monotonic clock, in seconds
    :param count_call: called with each call's name and whether it succeeded
    """
    return StoreClient(Pool(address.host, address.port, clock), count_call)


PLATFORM: Final = Dialect(
    topics=Topics(
        config="keyed.op",
        config_key="config",
        # The platform calls endpoints servers.
        endpoints="keyed.servers",
        routers="keyed.routers",
        service_versions="keyed.mixed",
        stream_origins="origins",
        crashes="keyed.crashes",
    ),
    read_settings=read_node_file,
    make_store=make_store,
    decode_config=decode_config,
    decode_entry=decode_entry,
    decode_call=decode_call,
    encode_request=encode_request,
    decode_answer=decode_answer,
    encode_probe=encode_probe,
    decode_probe=decode_probe,
    refusal_headers=refusal_headers,
)
