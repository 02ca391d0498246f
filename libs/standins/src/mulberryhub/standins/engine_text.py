"""Deterministic answers of the engine stand-in, so that a test can compare them.

Token `i` of the answer depends on the prompt and on `i` alone: not on the engine,
the scope of its cache, or how often the stream was broken.
"""

from xxhash import xxh3_64_hexdigest

TOKEN_LENGTH = 4  # characters


def prompt_text(body):
    """Return the prompt of a chat or plain completions request as one string."""
    if "messages" not in body:
        prompt = body.get("prompt", "")
        return prompt if isinstance(prompt, str) else "\n".join(map(str, prompt))
    return "\n".join(_message_text(message) for message in body["messages"])


def _message_text(message):
    content = message.get("content") or ""
    if not isinstance(content, str):
        content = " ".join(part.get("text", "") for part in content)
    return f"{message.get('role', '')}: {content}"


def answer_seed(prompt):
    """Return what the tokens of the answer to `prompt` are derived from."""
    return _digest(prompt)


def token_text(seed, index):
    """Return token `index` of the answer with that seed."""
    return " " + _digest(f"{seed}:{index}")[:TOKEN_LENGTH]


def _digest(text):
    return xxh3_64_hexdigest(text.encode())


def answer_text(body, tokens):
    """Return the first `tokens` tokens of the answer to a request in one piece."""
    seed = answer_seed(prompt_text(body))
    return "".join(token_text(seed, index) for index in range(tokens))


def block_digests(prompt, scope, block_tokens):
    """Return the chained digests of the full blocks of `prompt` in one scope.

    A word stands for a token; a rest shorter than a block has no digest.
    """
    words = prompt.split()
    digests = []
    parent = scope
    for end in range(block_tokens, len(words) + 1, block_tokens):
        block = " ".join(words[end - block_tokens : end])
        parent = _digest(f"{parent}\0{block}")
        digests.append(parent)
    return digests
