"""The refusal of a slot by the owner of a service."""

__all__ = ["AdmissionRefusedError"]


class AdmissionRefusedError(Exception):
    """The owner did not grant a slot.

    ``retry_after_s`` states when the caller should retry.
    """

    def __init__(self, reason: str, retry_after_s: float) -> None:
        super().__init__(reason)
        self.reason = reason
        self.retry_after_s = retry_after_s
