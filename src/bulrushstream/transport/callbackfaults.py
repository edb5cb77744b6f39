"""Ends connections whose own callbacks raise errors.

The event loop logs an error of a callback and goes on.  A transport whose
memory runs out after the kernel took a part of its bytes would send that part
again.
"""

from __future__ import annotations

import asyncio
from typing import Any


def end_failed_connection(
    loop: asyncio.AbstractEventLoop, context: dict[str, Any]
) -> None:
    """Abort the transport that a failed callback is a method of, and log.

    It is an exception handler of the event loop.

    :param loop: the event loop
    :param context: what failed; see `loop.call_exception_handler`
    """
    callback = getattr(context.get("handle"), "_callback", None)
    owner = getattr(callback, "__self__", None)
    if isinstance(owner, asyncio.Transport):
        owner.abort()
    loop.default_exception_handler(context)
