"""Random changes of the configuration, each of one kind."""

import copy
import random
from collections.abc import Callable
from typing import Any

from tests.relay.relay_harness import LLM, PLAIN, configuration

__all__ = [
    "CHANGES",
    "OTHER_LLM",
    "OTHER_PLAIN",
    "OTHER_TIMEOUTS_MS",
    "TIMEOUT_MS",
    "first_document",
    "with_change",
]

OTHER_LLM = "llm2"
OTHER_PLAIN = "plain2"
TIMEOUT_MS = 4000
# Timeouts of routes after a change.
OTHER_TIMEOUTS_MS = (900, 2000, 8000)
# Short, so that connections are closed as idle while the changes last.
IDLE_TIMEOUT_MS = 700
# Few, so that streams wait.
SLOTS = 3
Document = dict[str, Any]


def first_document(version: int) -> Document:
    """Return a configuration with two services of each kind."""
    document = copy.deepcopy(configuration(version))
    for service in list(document["services"]):
        other = {LLM: OTHER_LLM, PLAIN: OTHER_PLAIN}[service["name"]]
        document["services"].append(copy.deepcopy(service) | {"name": other})
    for route in document["routes"]:
        route["timeout_ms"] = TIMEOUT_MS
    for service in document["services"]:
        if "engine" in service:
            service["engine"]["slots"] = SLOTS
    document["limits"]["idle_timeout_ms"] = IDLE_TIMEOUT_MS
    return document


def with_change(kind: str, version: int, rng: random.Random) -> Document:
    """Return the first configuration with a change of one kind."""
    document = first_document(version)
    CHANGES[kind](document, rng)
    return document


def _idle(document: Document, rng: random.Random) -> None:
    document["limits"]["idle_timeout_ms"] = rng.choice((250, 2000, 4000, 6000))


def _header_timeout(document: Document, rng: random.Random) -> None:
    document["limits"]["header_timeout_ms"] = rng.choice((400, 1000, 6000))


def _sizes(document: Document, rng: random.Random) -> None:
    limits = document["limits"]
    limits["max_body_bytes"] = rng.choice((2000, 20_000, 400_000))
    limits["max_header_bytes"] = rng.choice((2048, 8192, 65_536))


def _timeouts(document: Document, rng: random.Random) -> None:
    for route in document["routes"]:
        route["timeout_ms"] = rng.choice(OTHER_TIMEOUTS_MS)
        route["target_latency_ms"] = rng.choice((300, 900, 3000))


def _attempts(document: Document, rng: random.Random) -> None:
    for route in document["routes"]:
        route["max_attempts"] = rng.choice((1, 2, 4))


def _kind(document: Document, rng: random.Random) -> None:
    for route in document["routes"]:
        if route["kind"] == "stream":
            route["resumable"] = not route["resumable"]
        else:
            route["kind"] = rng.choice(("idempotent", "non_idempotent"))


def _route_goes(document: Document, rng: random.Random) -> None:
    document["routes"].remove(rng.choice(document["routes"]))


def _route_moves(document: Document, rng: random.Random) -> None:
    for route in rng.sample(document["routes"], 2):
        other = {LLM: OTHER_LLM, PLAIN: OTHER_PLAIN}
        route["service"] = other[route["service"]]


def _service_goes(document: Document, rng: random.Random) -> None:
    name = rng.choice((LLM, PLAIN))
    other = {LLM: OTHER_LLM, PLAIN: OTHER_PLAIN}[name]
    for route in document["routes"]:
        if route["service"] == name:
            route["service"] = other
    document["services"] = [
        item for item in document["services"] if item["name"] != name
    ]


def _engine(document: Document, rng: random.Random) -> None:
    for service in document["services"]:
        if "engine" in service:
            service["engine"] |= {
                "slots": rng.choice((0, 1, SLOTS, 12)),
                "kv_tokens": rng.choice((0, 4000, 12_000, 144_611)),
                "stride": rng.choice((1, 89, 500)),
                "handle_ttl_s": rng.choice((0.02, 0.5, 5.0)),
                "hold_ms": rng.choice((0.0, 50.0, 2000.0)),
            }


def _connections(document: Document, rng: random.Random) -> None:
    for service in document["services"]:
        service["max_conns"] = rng.choice((0, 1, 4, 164))


def _nothing(document: Document, rng: random.Random) -> None:
    """Change nothing but the version."""


CHANGES: dict[str, Callable[[Document, random.Random], None]] = {
    "idle": _idle,
    "header_timeout": _header_timeout,
    "sizes": _sizes,
    "timeouts": _timeouts,
    "attempts": _attempts,
    "kind": _kind,
    "route_goes": _route_goes,
    "route_moves": _route_moves,
    "service_goes": _service_goes,
    "engine": _engine,
    "connections": _connections,
    "nothing": _nothing,
}
