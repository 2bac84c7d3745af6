"""Seeded arrivals of the requests of both client accounts.

The same seed gives the same list for every policy. Prompts consist of words
of three characters, so that the router's estimate from bytes and an engine's
count of words agree. Requests about one subject share the start of their
prompt, as requests about one record do.
"""

import itertools
import json
import random
from dataclasses import dataclass

from .caller import ModelCall, PlainCall
from .client_accounts import ClientAccount, ModelWork

__all__ = ["Arrival", "make_model_call", "make_plain_call", "poisson_times"]

ALPHABET = "abcdefghijklmnopqrstuvwxyz0123456789"
WORDS = tuple("".join(item) + " " for item in itertools.product(ALPHABET, repeat=3))
PLAIN_TIMEOUT_S = 8.0


@dataclass(frozen=True)
class Arrival:
    """A request and the time at which it is sent, in seconds."""

    at_s: float
    account: ClientAccount
    call: ModelCall | PlainCall


def poisson_times(
    rng: random.Random, rate_per_s: float, begin_s: float, end_s: float
) -> list[float]:
    """Return the arrival times of a Poisson process."""
    times: list[float] = []
    if rate_per_s <= 0:
        return times
    at_s = begin_s + rng.expovariate(rate_per_s)
    while at_s < end_s:
        times.append(at_s)
        at_s += rng.expovariate(rate_per_s)
    return times


def _words(rng: random.Random, count: int) -> str:
    return "".join(rng.choices(WORDS, k=count))


def make_prompt(rng: random.Random, work: ModelWork) -> str:
    """Return a prompt: the prefix shared by its subject, then unique words."""
    subject = rng.randrange(work.subjects)
    shared = _words(random.Random(f"{work.class_name}/{subject}"), work.shared_tokens)
    length = rng.randint(*work.prompt_tokens)
    return shared + _words(rng, max(1, length - work.shared_tokens))


def make_model_call(
    rng: random.Random, account: ClientAccount, work: ModelWork
) -> ModelCall:
    """Return a model request with random sizes of its class."""
    return ModelCall(
        api_key=account.api_key,
        model=account.model,
        class_name=work.class_name,
        prompt=make_prompt(rng, work),
        max_tokens=rng.randint(*work.output_tokens),
        deadline_ms=work.deadline_ms,
    )


def make_plain_call(
    rng: random.Random, account: ClientAccount, index: int
) -> PlainCall:
    """Return a call of one of the account's plain services."""
    service = account.services[index % len(account.services)]
    key = f"{service.name}-{rng.getrandbits(64):016x}"
    body = json.dumps({"order": key, "quantity": rng.randint(1, 90)}).encode()
    return PlainCall(
        api_key=account.api_key,
        service=service.name,
        class_name=service.class_name,
        key=key,
        body=body,
        limit_s=PLAIN_TIMEOUT_S,
    )
