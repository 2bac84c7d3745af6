"""JSON texts that another writer may leave in a row."""

import json
from collections.abc import Iterator
from typing import Any

from hypothesis import strategies as st

__all__ = [
    "DEEP",
    "ENGINE",
    "MAX_NUMBER",
    "ODD_TEXTS",
    "WHOLE_VALUES",
    "field_paths",
    "json_values",
    "replace_field",
]

# The largest whole number that a float, a frame between hosts and the JSON of
# other programs all hold exactly.
MAX_NUMBER = 2**53
ENGINE = {
    "service": "plain",
    "addr": "127.0.0.1:8080",
    "zone": "a",
    "version": "v1",
    "slots": 12,
    "state": "ready",
    "stage": "decode",
    "cold_left_ms": 0,
    "seq": 3,
    "born": 1000,
}
DEPTH = 10_000
DEEP = "[" * DEPTH + "]" * DEPTH
# JSON texts in place of one field.
ODD_TEXTS = (
    DEEP,
    '{"a":' * 500 + "1" + "}" * 500,
    "1e400",
    "-1e400",
    "NaN",
    "Infinity",
    "-Infinity",
    "9" * 400,
    "9" * 5000,
    "-1",
    "-0.5",
    "0.5",
    "0",
    "65536",
    "70000",
    "9007199254740993",
    "18446744073709551616",
    "true",
    "false",
    "null",
    "[]",
    "{}",
    '[["a"]]',
    '""',
    '"80"',
    '"0"',
    '"\\ud800"',
    '"\\u0000"',
    '"a\\r\\nX-Stage: prefill"',
    '"\\u001b[2J"',
    '"\\"quoted\\" = \\\\ /../"',
    '"127.0.0.1:70000"',
    '"127.0.0.1:0"',
    '"127.0.0.1:65536"',
    '"0.0.0.0:80"',
    '"999.1.1.1:80"',
    '"...:80"',
    '"[::1]:80"',
    '"localhost:80"',
    '"127.0.0.1:80.5"',
    '"127.0.0.1:\\u0661\\u0662"',
    '"' + "x" * 10_000 + '"',
)
# Values of a row that are odd as a whole.
WHOLE_VALUES = (
    b"",
    b"\x00",
    b"\xff\xfe\xfd",
    b'{"service": "\xff"}',
    b'{"a": "\xed\xa0\x80"}',
    b"{",
    b"null",
    b"[]",
    b'"text"',
    b"1e400",
    b"9" * 5000,
    DEEP.encode(),
    b"[" * DEPTH,
    b'{"a":' * DEPTH,
    b" " * 1_000_000,
    b'"' + b"x" * 1_000_000 + b'"',
)
json_values = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=8)
    | st.sampled_from([2**53 + 1, 10**400, -(10**30)]),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=8), inner, max_size=4)
    ),
    max_leaves=12,
)
_MARK = "@odd@"


def field_paths(document: Any) -> Iterator[tuple[str | int, ...]]:
    """Yield the paths of all fields and items within a document."""
    items = enumerate(document) if isinstance(document, list) else document.items()
    for key, value in items:
        yield (key,)
        if isinstance(value, dict | list):
            for path in field_paths(value):
                yield (key, *path)


def replace_field(document: Any, path: tuple[str | int, ...], text: str) -> bytes:
    """Return a document in JSON with ``text`` in place of one field."""
    changed = json.loads(json.dumps(document))
    target = changed
    for key in path[:-1]:
        target = target[key]
    target[path[-1]] = _MARK
    return json.dumps(changed).replace(f'"{_MARK}"', text).encode()
