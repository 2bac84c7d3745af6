"""Frames and handshake of the connections between entry hosts.

A frame is a 4-byte big-endian length and that many bytes. In the handshake
both sides send a hello message (protocol version, host id, incarnation,
nonce) and then prove that they have the shared key by an HMAC over both
hellos. A malformed or oversized frame, or one of another protocol, raises
``RouterError``; the calling code then closes this connection only.
"""

import asyncio
import hashlib
import hmac
import secrets
from dataclasses import dataclass

import msgpack

from .result_codes import ResultCode, RouterError

__all__ = [
    "LENGTH_BYTES",
    "MAX_FRAME_BYTES",
    "PROTOCOL_VERSION",
    "PeerIdentity",
    "handshake",
    "read_frame",
    "write_frame",
]

PROTOCOL_VERSION = 1
MAX_FRAME_BYTES = 4 * 1024 * 1024
MAX_HELLO_BYTES = 512
LENGTH_BYTES = 4
NONCE_BYTES = 16
HANDSHAKE_TIMEOUT_S = 2.0


@dataclass(frozen=True)
class PeerIdentity:
    """The process at one end of a peer connection."""

    host_id: str
    incarnation: int


async def read_frame(
    reader: asyncio.StreamReader, limit_bytes: int = MAX_FRAME_BYTES
) -> bytes:
    """Return the next frame.

    Raises ``RouterError`` when the frame is larger than ``limit_bytes`` or
    the connection ends first.
    """
    try:
        length = int.from_bytes(await reader.readexactly(LENGTH_BYTES), "big")
        if length > limit_bytes:
            raise RouterError(
                ResultCode.PEER_FRAME_TOO_LARGE, f"{length} > {limit_bytes} bytes"
            )
        return await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        raise RouterError(ResultCode.PEER_CLOSED, type(error).__name__) from error


def write_frame(writer: asyncio.StreamWriter, data: bytes) -> None:
    """Write one frame to the send buffer."""
    writer.write(len(data).to_bytes(LENGTH_BYTES, "big") + data)


async def handshake(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    identity: PeerIdentity,
    key: bytes,
    *,
    initiator: bool,
) -> PeerIdentity:
    """Authenticate both sides and return the identity of the other one.

    Raises ``RouterError`` with ``PEER_AUTHENTICATION`` on a wrong key,
    ``PEER_PROTOCOL`` on a malformed hello, another protocol version or a
    timeout, and ``PEER_CLOSED`` when the connection ends.
    """
    try:
        async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
            return await _handshake(reader, writer, identity, key, initiator)
    except TimeoutError as error:
        raise RouterError(ResultCode.PEER_PROTOCOL, "handshake timeout") from error
    except ConnectionError as error:
        raise RouterError(ResultCode.PEER_CLOSED, type(error).__name__) from error


async def _handshake(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    identity: PeerIdentity,
    key: bytes,
    initiator: bool,
) -> PeerIdentity:
    """Exchange hellos and proofs without a time limit."""
    nonce = secrets.token_bytes(NONCE_BYTES)
    own_hello: bytes = msgpack.packb(
        [PROTOCOL_VERSION, identity.host_id, identity.incarnation, nonce]
    )
    write_frame(writer, own_hello)
    peer_hello = await read_frame(reader, MAX_HELLO_BYTES)
    peer = _parse_hello(peer_hello)
    hellos = own_hello + peer_hello if initiator else peer_hello + own_hello
    write_frame(writer, _proof(key, hellos, initiator))
    await writer.drain()
    expected = _proof(key, hellos, not initiator)
    if not hmac.compare_digest(await read_frame(reader, MAX_HELLO_BYTES), expected):
        raise RouterError(ResultCode.PEER_AUTHENTICATION, "wrong proof of the key")
    return peer


def _parse_hello(data: bytes) -> PeerIdentity:
    """Return the identity in a hello; raise ``PEER_PROTOCOL`` if invalid."""
    try:
        version, host_id, incarnation, _ = msgpack.unpackb(data)
    except (ValueError, TypeError, msgpack.UnpackException) as error:
        raise RouterError(ResultCode.PEER_PROTOCOL, "malformed hello") from error
    if version != PROTOCOL_VERSION:
        raise RouterError(ResultCode.PEER_PROTOCOL, f"protocol version {version!r}")
    if not isinstance(host_id, str) or not isinstance(incarnation, int):
        raise RouterError(ResultCode.PEER_PROTOCOL, "malformed hello")
    return PeerIdentity(host_id, incarnation)


def _proof(key: bytes, hellos: bytes, from_initiator: bool) -> bytes:
    """Return the HMAC of one side; the other side's differs."""
    side = b"initiator" if from_initiator else b"acceptor"
    return hmac.new(key, side + hellos, hashlib.sha256).digest()
