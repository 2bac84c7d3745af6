"""Deterministic answers of the emulated back ends.

A token depends only on model, prompt and index, so an answer can be resumed
at any index by any engine, and the load client checks each answer byte for
byte without asking an engine.
"""

import json

import xxhash

__all__ = ["answer_text", "receipt", "seed_of", "token_text"]


def seed_of(model: str, prompt: str) -> int:
    """Return the seed of the answer to a prompt."""
    return xxhash.xxh3_64_intdigest(f"{model}\0{prompt}".encode())


def token_text(seed: int, index: int) -> str:
    """Return one token: a word of seven characters and a space."""
    digest = xxhash.xxh32_intdigest(index.to_bytes(4, "little"), seed & 0xFFFFFFFF)
    return f"{digest & 0xFFFFFFF:07x} "


def answer_text(model: str, prompt: str, tokens: int) -> str:
    """Return the whole answer of so many tokens."""
    seed = seed_of(model, prompt)
    return "".join(token_text(seed, index) for index in range(tokens))


def receipt(service: str, body: bytes) -> bytes:
    """Return the answer body of a backend server to a call."""
    digest = xxhash.xxh3_64_hexdigest(body)
    return json.dumps({"service": service, "receipt": digest}).encode()
