"""Answers of the completions interfaces, whole and in chunks."""

import msgspec

DONE = b"data: [DONE]\n\n"


class AnswerShape:
    """What stays the same in all chunks of one answer."""

    __slots__ = ("id", "model_id", "is_chat")

    def __init__(self, id_, model_id, is_chat):
        self.id = id_
        self.model_id = model_id
        self.is_chat = is_chat

    def chunk(self, text, finish_reason=None, usage=None):
        """Return the bytes of one event that carries `text`."""
        suffix = ".chunk" if self.is_chat else ""
        value = self._envelope(suffix, self._delta(text, finish_reason))
        if usage is not None:
            value["usage"] = usage_value(usage)
        return b"data: " + msgspec.json.encode(value) + b"\n\n"

    def whole(self, text, finish_reason, usage):
        """Return the bytes of a whole answer."""
        if self.is_chat:
            message = {"role": "assistant", "content": text}
            choice = {"index": 0, "message": message, "finish_reason": finish_reason}
        else:
            choice = {"index": 0, "text": text, "finish_reason": finish_reason}
        value = self._envelope("", choice)
        value["usage"] = usage_value(usage)
        return msgspec.json.encode(value)

    def _delta(self, text, finish_reason):
        if not self.is_chat:
            return {"index": 0, "text": text, "finish_reason": finish_reason}
        delta = {"content": text} if text else {}
        return {"index": 0, "delta": delta, "finish_reason": finish_reason}

    def _envelope(self, suffix, choice):
        kind = "chat.completion" if self.is_chat else "text_completion"
        return {
            "id": self.id,
            "object": kind + suffix,
            "created": 0,
            "model": self.model_id,
            "choices": [choice],
        }


def usage_value(usage):
    """Return usage in the shape that clients parse."""
    return {
        "prompt_tokens": usage.prompt_tokens,
        "completion_tokens": usage.completion_tokens,
        "total_tokens": usage.prompt_tokens + usage.completion_tokens,
        "prompt_tokens_details": {"cached_tokens": usage.cached_tokens},
    }
