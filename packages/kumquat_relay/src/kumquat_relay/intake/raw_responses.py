"""Responses that a connection writes itself, without a handler.

Load pattern: heads that are incomplete, too long or late, and requests under
load that the memory of the host does not hold.
"""

from kumquat_core.intake.intake_gate import RETRY_AFTER_S

__all__ = ["HEAD_TIMEOUT", "HEAD_TOO_LARGE", "NO_MEMORY", "REFUSAL"]

# Sent if part of a head was read when the host exits.
REFUSAL = (
    b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.05\r\n"
    b"Connection: close\r\nContent-Length: 0\r\n\r\n"
)
# Sent if there is no memory for a request.
NO_MEMORY = (
    f"HTTP/1.1 503 Service Unavailable\r\nRetry-After: {RETRY_AFTER_S:.2f}\r\n"
    "Connection: close\r\nContent-Length: 0\r\n\r\n"
).encode()
# Sent if the rest of a head does not arrive in time.
HEAD_TIMEOUT = (
    b"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)
# Sent if a head exceeds its limit.
HEAD_TOO_LARGE = (
    b"HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\n"
    b"Content-Length: 0\r\n\r\n"
)
