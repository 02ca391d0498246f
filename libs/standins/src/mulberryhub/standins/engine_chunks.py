"""Documents that the engine stand-in answers with, whole and in chunks."""

import msgspec


def event(index, document):
    """Return a server-sent event with a token's index as its id."""
    return b"id: %d\ndata: %s\n\n" % (index, msgspec.json.encode(document))


def chunk(sequence, text, chat, index=None):
    """Return the chunk of one token; the first one tells the usage so far."""
    if chat:
        choice = {"index": 0, "delta": {"content": text}, "finish_reason": None}
    else:
        choice = {"index": 0, "text": text, "finish_reason": None}
    document = _document(sequence, chat, choice, ".chunk")
    if index == sequence.start:
        document["usage"] = _usage(sequence)
    return document


def last_chunk(sequence, chat):
    """Return the chunk that ends an answer, with its usage."""
    choice = {"index": 0, "finish_reason": sequence.finish_reason}
    choice |= {"delta": {}} if chat else {"text": ""}
    return _document(sequence, chat, choice, ".chunk") | {"usage": _usage(sequence)}


def whole(sequence, chat):
    """Return the whole answer."""
    text = "".join(sequence.tokens)
    choice = {"index": 0, "finish_reason": sequence.finish_reason}
    if chat:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    return _document(sequence, chat, choice, "") | {"usage": _usage(sequence)}


def _document(sequence, chat, choice, suffix):
    return {
        "id": sequence.id,
        "object": f"chat.completion{suffix}" if chat else "text_completion",
        "created": 0,
        "model": sequence.model,
        "choices": [choice],
    }


def _usage(sequence):
    completion = sequence.next_index
    return {
        "prompt_tokens": sequence.prompt_tokens,
        "completion_tokens": completion,
        "total_tokens": sequence.prompt_tokens + completion,
        "prompt_tokens_details": {"cached_tokens": sequence.cached_tokens},
    }
