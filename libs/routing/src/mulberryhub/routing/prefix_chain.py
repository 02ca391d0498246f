"""Splits prompts into blocks and hashes them into prefix chains, salted by scope."""

import msgspec

from mulberryhub.base.digest import chain_digest
from mulberryhub.routing.request import RouteRequest

BLOCK_TOKENS = 2_000
SHARED_ROLES = frozenset({"system", "developer", "tool"})


def scope_salt(scope):
    """Return the 16-byte digest of `scope` that salts all its prefix chains."""
    return chain_digest(b"", msgspec.msgpack.encode(scope))


def prefix_chain(scope, text_blocks):
    """Return one 16-byte digest per text block, covering it and all earlier blocks."""
    parent = scope_salt(scope)
    chain = []
    for block in text_blocks:
        parent = chain_digest(parent, block.encode())
        chain.append(parent)
    return chain


def split_into_blocks(text, block_tokens=BLOCK_TOKENS):
    """Return pairs of text and word count, each of at most `block_tokens` words.

    Words separated by whitespace stand in for tokens.
    """
    words = text.split()
    blocks = []
    for start in range(0, len(words), block_tokens):
        block_words = words[start : start + block_tokens]
        blocks.append((" ".join(block_words), len(block_words)))
    return blocks


def chat_request(scope, messages, block_tokens=BLOCK_TOKENS):
    """Return the RouteRequest of chat `messages`, given as pairs of role and text.

    Each message starts a new block, so that a message shared by several prompts
    yields the same digests whatever follows it. Each leading message with one of
    SHARED_ROLES ends a shareable prefix, and so does the first message with another
    role. All turns of a conversation therefore have the same shareable prefixes.
    """
    blocks = []
    shared_prefix_blocks = []
    in_shared_prefix = True
    for index, (role, text) in enumerate(messages):
        message_blocks = split_into_blocks(f"{role}: {text}", block_tokens)
        start = len(blocks)
        blocks.extend(message_blocks)
        if not in_shared_prefix:
            continue
        in_shared_prefix = role in SHARED_ROLES
        end = _last_shared_block(
            message_blocks, start, index == len(messages) - 1, block_tokens
        )
        if end >= start:
            shared_prefix_blocks.append(end)
    return _route_request(scope, blocks, shared_prefix_blocks)


def text_request(scope, text, block_tokens=BLOCK_TOKENS):
    """Return the RouteRequest of a plain text prompt.

    Shareable prefixes end after 1, 2, 4, ... blocks; the last block is never part
    of one.
    """
    blocks = split_into_blocks(text, block_tokens)
    shared_prefix_blocks = []
    end = 1
    while end < len(blocks):
        shared_prefix_blocks.append(end - 1)
        end *= 2
    return _route_request(scope, blocks, shared_prefix_blocks)


def _last_shared_block(message_blocks, start, is_last_message, block_tokens):
    """Return the index of the last block of a message that other prompts may share.

    `start` is the index of the first block of the message. A partial last block is
    left out if the message has several blocks or is the last one. The result is less
    than `start` if no block of the message can be shared.
    """
    end = start + len(message_blocks) - 1
    is_last_block_partial = message_blocks[-1][1] < block_tokens
    if is_last_block_partial and (is_last_message or len(message_blocks) > 1):
        return end - 1
    return end


def _route_request(scope, blocks, shared_prefix_blocks):
    """Return the RouteRequest of `blocks`, pairs of text and token count."""
    if not blocks:
        blocks = [("", 0)]
    chain = prefix_chain(scope, [text for text, _ in blocks])
    cumulative_tokens = []
    tokens = 0
    for _, count in blocks:
        tokens += count
        cumulative_tokens.append(tokens)
    return RouteRequest(scope, chain, cumulative_tokens, shared_prefix_blocks, tokens)
