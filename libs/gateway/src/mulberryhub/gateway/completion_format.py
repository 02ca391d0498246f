"""Encoding of completions as JSON objects and server-sent events."""

import msgspec

DONE_EVENT = b"data: [DONE]\n\n"


class CompletionFormatter:
    """Encodes the response to one chat or text completion request.

    `id_` and `model_id` appear in the response, and in every chunk of a streamed
    one. `is_chat` selects the chat format instead of the text format.
    """

    __slots__ = ("id", "model_id", "is_chat")

    def __init__(self, id_, model_id, is_chat):
        self.id = id_
        self.model_id = model_id
        self.is_chat = is_chat

    def chunk_event(self, text, finish_reason=None, usage=None):
        """Return the server-sent event of one chunk as bytes."""
        suffix = ".chunk" if self.is_chat else ""
        value = self._completion_object(suffix, self._chunk_choice(text, finish_reason))
        if usage is not None:
            value["usage"] = usage_object(usage)
        return b"data: " + msgspec.json.encode(value) + b"\n\n"

    def completion(self, text, finish_reason, usage):
        """Return the body of a response that is not streamed, as bytes."""
        if self.is_chat:
            message = {"role": "assistant", "content": text}
            choice = {"index": 0, "message": message, "finish_reason": finish_reason}
        else:
            choice = {"index": 0, "text": text, "finish_reason": finish_reason}
        value = self._completion_object("", choice)
        value["usage"] = usage_object(usage)
        return msgspec.json.encode(value)

    def _chunk_choice(self, text, finish_reason):
        if not self.is_chat:
            return {"index": 0, "text": text, "finish_reason": finish_reason}
        delta = {"content": text} if text else {}
        return {"index": 0, "delta": delta, "finish_reason": finish_reason}

    def _completion_object(self, object_suffix, choice):
        object_type = "chat.completion" if self.is_chat else "text_completion"
        return {
            "id": self.id,
            "object": object_type + object_suffix,
            "created": 0,
            "model": self.model_id,
            "choices": [choice],
        }


def usage_object(usage):
    """Return `usage` as the `usage` object of a completion."""
    return {
        "prompt_tokens": usage.prompt_tokens,
        "completion_tokens": usage.completion_tokens,
        "total_tokens": usage.prompt_tokens + usage.completion_tokens,
        "prompt_tokens_details": {"cached_tokens": usage.cached_tokens},
    }
