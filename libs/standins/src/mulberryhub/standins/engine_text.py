"""Deterministic answer texts of the engine stand-in, which tests compare.

Token `i` of an answer depends only on the prompt and on `i`, not on the engine, its
cache scope or the number of times that the stream was resumed.
"""

from xxhash import xxh3_64_hexdigest

TOKEN_LENGTH_CHARACTERS = 4


def prompt_text(body):
    """Return the prompt of a chat or text completion request as one string."""
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
    """Return the seed from which the answer to `prompt` is generated."""
    return _digest(prompt)


def token_text(seed, index):
    """Return the text of token `index` of the answer with this seed."""
    return " " + _digest(f"{seed}:{index}")[:TOKEN_LENGTH_CHARACTERS]


def _digest(text):
    return xxh3_64_hexdigest(text.encode())


def answer_text(body, tokens):
    """Return the text of the first `tokens` tokens of the answer to a request."""
    seed = answer_seed(prompt_text(body))
    return "".join(token_text(seed, index) for index in range(tokens))


def block_digests(prompt, scope, block_tokens):
    """Return the chained digests of the full blocks of `prompt` in one scope.

    Each word counts as a token; a trailing partial block has no digest.
    """
    words = prompt.split()
    digests = []
    parent = scope
    for end in range(block_tokens, len(words) + 1, block_tokens):
        block = " ".join(words[end - block_tokens : end])
        parent = _digest(f"{parent}\0{block}")
        digests.append(parent)
    return digests
