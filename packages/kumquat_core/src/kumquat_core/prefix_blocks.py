"""Hashes of a prompt's leading blocks.

Block ``i`` is hashed together with all blocks before it, so two prompts
share hash ``i`` only if they are equal up to the end of block ``i``. Engines
send the same hashes as ``prefix`` in their cache events.
"""

import xxhash

__all__ = ["BLOCK_BYTES", "MAX_BLOCKS", "block_hashes"]

BLOCK_BYTES = 1024
MAX_BLOCKS = 64

# Keeps the hash within a signed 64-bit integer, which both JSON and msgpack
# can represent.
HASH_MASK = (1 << 63) - 1


def block_hashes(prompt: bytes) -> tuple[int, ...]:
    """Return the hashes of the full leading blocks, at most ``MAX_BLOCKS``."""
    state = xxhash.xxh3_64()
    hashes = []
    for index in range(min(len(prompt) // BLOCK_BYTES, MAX_BLOCKS)):
        state.update(prompt[index * BLOCK_BYTES : (index + 1) * BLOCK_BYTES])
        hashes.append(state.intdigest() & HASH_MASK)
    return tuple(hashes)
