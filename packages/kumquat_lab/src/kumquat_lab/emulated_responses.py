"""Deterministic responses of the emulated engines and backend servers.

A token depends only on model, prompt and index, so any engine can
resume a response at any index, and the load client checks each response byte
for byte without a call to an engine.
"""

import json

import xxhash

__all__ = ["response_text", "receipt", "response_seed", "token_text"]


def response_seed(model: str, prompt: str) -> int:
    """Return the seed of the response to a prompt."""
    return xxhash.xxh3_64_intdigest(f"{model}\0{prompt}".encode())


def token_text(seed: int, index: int) -> str:
    """Return one token: a word of seven characters and a space."""
    digest = xxhash.xxh32_intdigest(index.to_bytes(4, "little"), seed & 0xFFFFFFFF)
    return f"{digest & 0xFFFFFFF:07x} "


def response_text(model: str, prompt: str, tokens: int) -> str:
    """Return the complete response of ``tokens`` tokens."""
    seed = response_seed(model, prompt)
    return "".join(token_text(seed, index) for index in range(tokens))


def receipt(service: str, body: bytes) -> bytes:
    """Return the response body of a backend server to a call."""
    digest = xxhash.xxh3_64_hexdigest(body)
    return json.dumps({"service": service, "receipt": digest}).encode()
