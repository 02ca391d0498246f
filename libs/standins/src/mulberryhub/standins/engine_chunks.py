"""Builds the whole and streamed completion answers of the engine stand-in."""

import msgspec


def sse_event(index, document):
    """Return a server-sent event in bytes, with a token's index as its id."""
    return b"id: %d\ndata: %s\n\n" % (index, msgspec.json.encode(document))


def token_chunk(sequence, text, chat, index=None):
    """Return the chunk for one token; the first one of a run includes the usage.

    `chat` selects the chat format instead of the text completion format.
    """
    if chat:
        choice = {"index": 0, "delta": {"content": text}, "finish_reason": None}
    else:
        choice = {"index": 0, "text": text, "finish_reason": None}
    document = _answer_document(sequence, chat, choice, ".chunk")
    if index == sequence.start_index:
        document["usage"] = _usage(sequence)
    return document


def final_chunk(sequence, chat):
    """Return the last chunk of a stream, with the finish reason and the usage."""
    choice = {"index": 0, "finish_reason": sequence.finish_reason}
    choice |= {"delta": {}} if chat else {"text": ""}
    return _answer_document(sequence, chat, choice, ".chunk") | {
        "usage": _usage(sequence)
    }


def whole_answer(sequence, chat):
    """Return the document of an answer that is not streamed."""
    text = "".join(sequence.tokens)
    choice = {"index": 0, "finish_reason": sequence.finish_reason}
    if chat:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    return _answer_document(sequence, chat, choice, "") | {"usage": _usage(sequence)}


def _answer_document(sequence, chat, choice, suffix):
    return {
        "id": sequence.id,
        "object": f"chat.completion{suffix}" if chat else "text_completion",
        "created": 0,
        "model": sequence.model,
        "choices": [choice],
    }


def _usage(sequence):
    completion_tokens = sequence.next_index
    return {
        "prompt_tokens": sequence.prompt_tokens,
        "completion_tokens": completion_tokens,
        "total_tokens": sequence.prompt_tokens + completion_tokens,
        "prompt_tokens_details": {"cached_tokens": sequence.cached_tokens},
    }
