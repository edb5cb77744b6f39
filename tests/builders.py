"""Builders of test data."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec


@dataclass(slots=True)
class FakeClock:
    """A clock that stands still until it is advanced."""

    now_s: float = 0.0  # What it shows.

    def now(self) -> float:
        """Return the time, in seconds."""
        return self.now_s

    def advance(self, by_s: float) -> None:
        """Let time pass."""
        self.now_s += by_s


def chat_body(
    message: str, model: str = "model", stream: bool = False
) -> bytes:
    """Return a chat-completions body with one user message."""
    messages = [{"role": "user", "content": message}]
    return msgspec.json.encode(
        {"model": model, "messages": messages, "stream": stream}
    )
