"""The `Dialect` of the users' platform."""

from __future__ import annotations

from typing import Final

from bulrushstream.platform.documents import (
    decode_config,
    decode_entry,
    decode_evacuation,
    decode_start,
)
from bulrushstream.platform.headers import (
    decode_answer,
    decode_call,
    decode_probe,
    encode_probe,
    encode_report_call,
    encode_request,
    refusal_headers,
)
from bulrushstream.platform.nodefile import read_node_file
from bulrushstream.platform.store import (
    MIN_ANSWER_BYTES,
    StoreClient,
    StoreLimits,
)
from bulrushstream.protocol.dialect import Dialect, StoreDeps, Topics
from bulrushstream.protocol.keyedstore import KeyedStore
from bulrushstream.state.excess import PeerKind
from bulrushstream.state.nodesettings import NodeSettings
from bulrushstream.transport.upstream import Pool


def make_store(settings: NodeSettings, deps: StoreDeps) -> KeyedStore:
    """Return a client of the platform's store.

    :param settings: the node settings
    :param deps: the client's collaborators
    """
    address = settings.store_address
    pool = Pool(
        address.host,
        address.port,
        deps.clock,
        on_excess=deps.on_excess,
        peer=PeerKind.STORE,
    )
    # A value in base64 takes a third more.
    answer_bytes = max(MIN_ANSWER_BYTES, 2 * settings.store_call_bytes)
    limits = StoreLimits(answer_bytes)
    return StoreClient(pool, deps.count_call, limits, deps.memory)


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
    encode_report_call=encode_report_call,
    decode_start=decode_start,
    refusal_headers=refusal_headers,
    decode_evacuation=decode_evacuation,
)
