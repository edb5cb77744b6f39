"""The model stand-in's answers, which callers can verify.

An answer is a function of its request: its first token is the digest of
the last user message, the others are their indexes.  A caller that puts a
nonce in its message can check that an answer belongs to it and is
complete.  A message can request a number of tokens, as `[tokens=40]`.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import Any, Final

import msgspec

from bulrushstream.protocol.prompt import ChatBody, digest_bytes

DEFAULT_TOKENS: Final = 16
DONE_EVENT: Final = b"data: [DONE]\n\n"
_TOKENS_PATTERN: Final = re.compile(r"\[tokens=(\d+)\]")


class ChatMessage(msgspec.Struct, frozen=True):
    """One message of a prompt."""

    role: str = ""  # The author's role, such as "user".
    content: Any = ""  # Usually text.


_MESSAGES_DECODER: Final = msgspec.json.Decoder(list[ChatMessage])


@dataclass(frozen=True, slots=True)
class Answer:
    """A planned answer, before it is generated."""

    answer_id: str
    model: str
    digest: str  # The first token.
    token_count: int
    prompt_tokens: int  # Estimated at four bytes per token.

    @property
    def event_count(self) -> int:
        """Return the number of server-sent events in its stream."""
        return self.token_count + 2

    @property
    def text(self) -> str:
        """Return the complete text."""
        return "".join(self.token(index) for index in range(self.token_count))

    def token(self, index: int) -> str:
        """Return one token of the text."""
        return self.digest if index == 0 else f" {index}"


def plan_answer(chat: ChatBody, request_id: str) -> Answer | None:
    """Plan the answer to a request.

    :param chat: The request's body.
    :param request_id: The request's id.
    :returns: The answer; None if the messages cannot be decoded.
    """
    message = last_user_message(chat)
    if message is None:
        return None
    return Answer(
        answer_id=f"chatcmpl-{request_id}",
        model=chat.model,
        digest=text_digest(message),
        token_count=token_count(message, chat.max_tokens),
        prompt_tokens=len(bytes(chat.messages)) // 4,
    )


def expected_text(message: str, max_tokens: int = 0) -> str:
    """Return the text that answers a user message.

    :param message: The last user message.
    :param max_tokens: The limit of tokens; 0: no limit.
    :returns: The complete text.
    """
    count = token_count(message, max_tokens)
    return Answer("", "", text_digest(message), count, 0).text


def text_digest(message: str) -> str:
    """Return the first token of the answer to a message."""
    return f"{digest_bytes(message.encode()) & (2**64 - 1):016x}"


def token_count(message: str, max_tokens: int) -> int:
    """Return the number of tokens in the answer to a message."""
    match = _TOKENS_PATTERN.search(message)
    requested = int(match.group(1)) if match else max_tokens or DEFAULT_TOKENS
    limited = min(requested, max_tokens) if max_tokens else requested
    return max(limited, 1)


def last_user_message(chat: ChatBody) -> str | None:
    """Return a prompt's last user message, or None."""
    try:
        messages = _MESSAGES_DECODER.decode(bytes(chat.messages))
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None
    for message in reversed(messages):
        if message.role == "user":
            return str(message.content)
    return None


def encode_event(answer: Answer, index: int) -> bytes:
    """Encode one server-sent event of a streamed answer.

    :param answer: The answer.
    :param index: The event's index, from 0; the last one ends the stream.
    :returns: The event with its terminating empty line.
    """
    if index > answer.token_count:
        return DONE_EVENT
    if index == answer.token_count:
        choice = '{"index":0,"delta":{},"finish_reason":"stop"}'
    else:
        role = '"role":"assistant",' if index == 0 else ""
        token = answer.token(index)
        choice = (
            f'{{"index":0,"delta":{{{role}"content":"{token}"}},'
            '"finish_reason":null}'
        )
    head = (
        f'{{"id":"{answer.answer_id}","object":"chat.completion.chunk",'
        f'"created":0,"model":"{answer.model}","choices":['
    )
    return f"data: {head}{choice}]}}\n\n".encode()


def encode_completion(answer: Answer) -> bytes:
    """Encode an answer that is not streamed.

    :param answer: The answer.
    :returns: The JSON body.
    """
    message = {"role": "assistant", "content": answer.text}
    choice = {"index": 0, "message": message, "finish_reason": "stop"}
    usage = {
        "prompt_tokens": answer.prompt_tokens,
        "completion_tokens": answer.token_count,
        "total_tokens": answer.prompt_tokens + answer.token_count,
    }
    return msgspec.json.encode(
        {
            "id": answer.answer_id,
            "object": "chat.completion",
            "created": 0,
            "model": answer.model,
            "choices": [choice],
            "usage": usage,
        }
    )
