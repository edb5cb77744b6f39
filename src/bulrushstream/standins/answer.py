"""The model stand-in's answers: deterministic, so callers can verify them.

The first token of an answer is the digest of the last user message; the
others are numbered.  A caller that puts a nonce in its message can tell
from the text whether an answer is its own and whole.  A message may say
how many tokens the answer shall have, as `[tokens=40]`.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import Any, Final

import msgspec

from bulrushstream.protocol.prompt import ChatBody, digest_bytes

DEFAULT_TOKENS: Final = 16
DONE_EVENT: Final = b"data: [DONE]\n\n"
_TOKENS_MARK: Final = re.compile(r"\[tokens=(\d+)\]")


class ChatMessage(msgspec.Struct, frozen=True):
    """One message of a prompt."""

    role: str = ""  # Who said it.
    content: Any = ""  # What was said; usually text.


_MESSAGES_DECODER: Final = msgspec.json.Decoder(list[ChatMessage])


@dataclass(frozen=True, slots=True)
class Answer:
    """One whole answer before it is generated."""

    answer_id: str  # Names the answer.
    model: str  # The model that gives it.
    digest: str  # Its first token.
    count: int  # How many tokens it has.
    prompt_tokens: int  # How many tokens the prompt has, roughly.

    @property
    def events(self) -> int:
        """Return how many server-sent events a stream of it has."""
        return self.count + 2

    @property
    def text(self) -> str:
        """Return the whole text."""
        return "".join(self.token(index) for index in range(self.count))

    def token(self, index: int) -> str:
        """Return one token of the text."""
        return self.digest if index == 0 else f" {index}"


def plan_answer(chat: ChatBody, request_id: str) -> Answer | None:
    """Decide an answer from its request.

    :param chat: The request's body.
    :param request_id: The request's id.
    :returns: The answer; None: the messages can not be read.
    """
    message = last_user_message(chat)
    if message is None:
        return None
    return Answer(
        answer_id=f"chatcmpl-{request_id}",
        model=chat.model,
        digest=text_digest(message),
        count=token_count(message, chat.max_tokens),
        prompt_tokens=len(bytes(chat.messages)) // 4,
    )


def expected_text(message: str, max_tokens: int = 0) -> str:
    """Return the text that answers a user message.

    :param message: The last user message.
    :param max_tokens: The most tokens; 0: no limit.
    :returns: The whole text.
    """
    count = token_count(message, max_tokens)
    return Answer("", "", text_digest(message), count, 0).text


def text_digest(message: str) -> str:
    """Return the first token of the answer to a message."""
    return f"{digest_bytes(message.encode()) & (2**64 - 1):016x}"


def token_count(message: str, max_tokens: int) -> int:
    """Return how many tokens answer a message."""
    found = _TOKENS_MARK.search(message)
    wanted = int(found.group(1)) if found else max_tokens or DEFAULT_TOKENS
    limited = min(wanted, max_tokens) if max_tokens else wanted
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
    :param index: Which event, from 0; the last one ends the stream.
    :returns: The event with its empty line.
    """
    if index > answer.count:
        return DONE_EVENT
    if index == answer.count:
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


def encode_whole(answer: Answer) -> bytes:
    """Encode an answer that is not streamed.

    :param answer: The answer.
    :returns: The JSON body.
    """
    message = {"role": "assistant", "content": answer.text}
    choice = {"index": 0, "message": message, "finish_reason": "stop"}
    usage = {
        "prompt_tokens": answer.prompt_tokens,
        "completion_tokens": answer.count,
        "total_tokens": answer.prompt_tokens + answer.count,
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
