"""Bounds of the fields of messages between hosts.

A peer of another build, or one that has read an odd entry, may send figures
that later code cannot use. Whole numbers within these bounds are exact in
floats and fit into the messages that answer them.
"""

import re
from typing import Annotated

from pydantic import AfterValidator, Field

__all__ = ["LATER_FIELD", "MAX_NUMBER", "AddressText", "Figure", "Port", "Whole"]

# Metadata of fields that hosts of earlier builds do not know. They are the
# last ones of their message and are left out while they have their defaults,
# so that those hosts can decode every message that does not need them.
LATER_FIELD = {"later": True}

MAX_NUMBER = 2**53
MAX_PORT = 65535

_ADDRESS = re.compile(r"[0-9.]{7,15}:[0-9]{1,5}", re.ASCII)


def _check_address(text: str) -> str:
    """Reject a text that is neither empty nor ``IP:PORT``."""
    if not text:
        return text
    if _ADDRESS.fullmatch(text) is None or int(text.partition(":")[2]) > MAX_PORT:
        raise ValueError("not an address")
    return text


Whole = Annotated[int, Field(ge=-MAX_NUMBER, le=MAX_NUMBER)]
Figure = Annotated[float, Field(ge=-MAX_NUMBER, le=MAX_NUMBER, allow_inf_nan=False)]
Port = Annotated[int, Field(ge=0, le=MAX_PORT)]
AddressText = Annotated[str, AfterValidator(_check_address)]
