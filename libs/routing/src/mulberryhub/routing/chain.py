"""Turns prompts into chains of digests, one for each block, salted with the scope."""

import msgspec

from mulberryhub.base.digest import chain_digest
from mulberryhub.routing.request import RouteRequest

BLOCK_TOKENS = 2_000  # tokens
SHARED_ROLES = frozenset({"system", "developer", "tool"})


def scope_salt(scope):
    """Return the bytes that start every chain of `scope`."""
    return chain_digest(b"", msgspec.msgpack.encode(scope))


def prefix_chain(scope, text_blocks):
    """Return one digest for each text block, each chained to all before it."""
    parent = scope_salt(scope)
    chain = []
    for block in text_blocks:
        parent = chain_digest(parent, block.encode())
        chain.append(parent)
    return chain


def text_pieces(text, block_tokens=BLOCK_TOKENS):
    """Return `text` cut after each `block_tokens` words, with the words of each."""
    words = text.split()
    pieces = []
    for start in range(0, len(words), block_tokens):
        piece = words[start : start + block_tokens]
        pieces.append((" ".join(piece), len(piece)))
    return pieces


def chat_request(scope, messages, block_tokens=BLOCK_TOKENS):
    """Return the RouteRequest of chat `messages`, pairs of role and text.

    Blocks end where messages end, so that a shared message gives shared digests
    whatever follows it. Levels end with each leading message of the shared
    roles and with the first message of the caller, so that all turns of a
    conversation have the same levels.
    """
    blocks = []
    levels = []
    leading = True
    for index, (role, text) in enumerate(messages):
        pieces = text_pieces(f"{role}: {text}", block_tokens)
        start = len(blocks)
        blocks.extend(pieces)
        if not leading:
            continue
        leading = role in SHARED_ROLES
        end = _shared_end(pieces, start, index == len(messages) - 1, block_tokens)
        if end >= start:
            levels.append(end)
    return _route_request(scope, blocks, levels)


def text_request(scope, text, block_tokens=BLOCK_TOKENS):
    """Return the RouteRequest of a plain prompt.

    Levels end after 1, 2, 4, ... full blocks, the last block left out.
    """
    blocks = text_pieces(text, block_tokens)
    levels = []
    end = 1
    while end < len(blocks):
        levels.append(end - 1)
        end *= 2
    return _route_request(scope, blocks, levels)


def _shared_end(pieces, start, is_last, block_tokens):
    """Return the index of the last block that other prompts may share."""
    end = start + len(pieces) - 1
    tail_is_short = pieces[-1][1] < block_tokens
    if tail_is_short and (is_last or len(pieces) > 1):
        return end - 1
    return end


def _route_request(scope, blocks, levels):
    if not blocks:
        blocks = [("", 0)]
    chain = prefix_chain(scope, [text for text, _ in blocks])
    ends = []
    tokens = 0
    for _, count in blocks:
        tokens += count
        ends.append(tokens)
    return RouteRequest(scope, chain, ends, levels, tokens)
