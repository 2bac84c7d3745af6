"""The response to a request that has not run since its memory was refused.

Load pattern: only under load that the memory of the host does not hold.
"""

from kumquat_core.intake.intake_gate import RETRY_AFTER_S, IntakeRefusedError
from kumquat_core.result_codes import ResultCode

from ..caller_response import CallerResponse, refusal

__all__ = ["refused_response"]


def refused_response(error: IntakeRefusedError) -> CallerResponse:
    """Return the response to a request that has not run for its memory."""
    return refusal(ResultCode.NO_CAPACITY_IN_TIME, error.cause.value, RETRY_AFTER_S)
