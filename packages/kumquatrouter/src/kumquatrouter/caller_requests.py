"""Authentication of HTTP requests and their conversion to requests."""

import hashlib
from dataclasses import dataclass

from aiohttp import web

from kumquat_core.configuration import (
    Configuration,
    RequestClass,
    Service,
    ServiceKind,
    Tenant,
)
from kumquat_core.request_ids import RequestId
from kumquat_core.result_codes import Execution, ResultCode, RouterError

from .input_validation import DEFAULT_MAX_TOKENS, CompletionModel, parse_deadline_ms
from .model_request import ModelRequest

__all__ = [
    "Caller",
    "as_router_error",
    "authenticate",
    "find_service",
    "first_attempt",
    "idempotency_key",
    "model_request",
    "service_path",
    "truthful_error",
]

BEARER = "Bearer "
MAX_IDEMPOTENCY_KEY_LENGTH = 128

# Result codes whose "not run" is based on the record of the idempotency key.
# All other refusals are made without reading the record, so an earlier call
# with the key may have run, for example under an older configuration.
CODES_BASED_ON_RECORD = frozenset(
    {
        ResultCode.IDEMPOTENCY_KEY_REUSED,
        ResultCode.INVALID_IDEMPOTENCY_KEY,
        ResultCode.DEADLINE_BEFORE_START,
        ResultCode.STORE_UNAVAILABLE,
        ResultCode.BACKEND_UNREACHABLE,
        ResultCode.CONFLICTING_ATTEMPT,
    }
)


@dataclass(frozen=True)
class Caller:
    """An authenticated request whose body is not parsed yet."""

    request_id: RequestId
    tenant: Tenant
    configuration: Configuration


def authenticate(
    http_request: web.Request, request_id: RequestId, configuration: Configuration
) -> Caller:
    """Return the caller whose tenant owns the bearer token."""
    if configuration.position == 0:
        raise RouterError(ResultCode.NOT_READY, retry_after_s=2.0)
    header = http_request.headers.get("Authorization", "")
    if not header.startswith(BEARER):
        raise RouterError(ResultCode.UNAUTHENTICATED, "no bearer token")
    digest = hashlib.sha256(header[len(BEARER) :].encode()).hexdigest()
    tenant = configuration.tenants_by_key_sha256.get(digest)
    if tenant is None:
        raise RouterError(ResultCode.UNAUTHENTICATED, "unknown key")
    return Caller(request_id, tenant, configuration)


def as_router_error(error: Exception) -> RouterError:
    """Return the error itself, or an internal one."""
    if isinstance(error, RouterError):
        return error
    return RouterError(ResultCode.INTERNAL_ERROR)


def model_request(
    caller: Caller, body: CompletionModel, http_request: web.Request
) -> ModelRequest:
    """Return the model request of a body, checked against the model's limits.

    Raises ``RouterError`` when the tenant has no pool for the model, a limit
    is exceeded or a header is invalid. A deadline in the headers can only
    shorten that of the request class.
    """
    configuration, tenant = caller.configuration, caller.tenant
    pool = configuration.pool_for(tenant.name, body.model)
    model = configuration.models_by_name.get(body.model)
    if pool is None or model is None:
        raise RouterError(ResultCode.UNKNOWN_MODEL, body.model)
    prompt_tokens = max(1, round(len(body.prompt.encode()) / model.bytes_per_token))
    if prompt_tokens > model.max_prompt_tokens:
        detail = f"{prompt_tokens} > {model.max_prompt_tokens} tokens"
        raise RouterError(ResultCode.PROMPT_TOO_LONG, detail)
    max_tokens = body.max_tokens or min(DEFAULT_MAX_TOKENS, model.max_output_tokens)
    if max_tokens > model.max_output_tokens:
        detail = f"max_tokens: greater than {model.max_output_tokens}"
        raise RouterError(ResultCode.INVALID_FIELD, detail)
    request_class = _request_class(caller, http_request)
    deadline_ms = parse_deadline_ms(http_request.headers) or request_class.deadline_ms
    deadline_ms = min(deadline_ms, request_class.deadline_ms)
    return ModelRequest(
        request_id=caller.request_id,
        tenant=tenant.name,
        request_class=request_class,
        model=model,
        pool=pool.name,
        prompt=body.prompt,
        prompt_tokens=prompt_tokens,
        max_tokens=max_tokens,
        patience_ms=min(request_class.patience_ms, deadline_ms),
        deadline_ms=deadline_ms,
    )


def _request_class(caller: Caller, http_request: web.Request) -> RequestClass:
    """Return the class of the header, or the tenant's default class."""
    name = http_request.headers.get("X-Request-Class", caller.tenant.default_class)
    request_class = caller.configuration.classes_by_name.get(name)
    if request_class is None:
        raise RouterError(
            ResultCode.INVALID_FIELD, f"X-Request-Class: no class {name!r}"
        )
    return request_class


def find_service(caller: Caller, name: str) -> Service:
    """Return a plain service by name, if the caller's tenant may use it."""
    service = caller.configuration.services_by_name.get(name)
    if service is None or service.kind is not ServiceKind.PLAIN:
        raise RouterError(ResultCode.UNKNOWN_SERVICE, name)
    if not caller.configuration.allows_service(caller.tenant.name, name):
        raise RouterError(ResultCode.FORBIDDEN, name)
    return service


def service_path(http_request: web.Request) -> str:
    """Return the path and query of a call to a plain service."""
    path = http_request.match_info["path"]
    query = http_request.query_string
    return f"{path}?{query}" if query else path


def idempotency_key(http_request: web.Request) -> str | None:
    """Return the caller's idempotency key, or None without the header."""
    key = http_request.headers.get("Idempotency-Key")
    if key is None:
        return None
    if not 0 < len(key) <= MAX_IDEMPOTENCY_KEY_LENGTH or not key.isprintable():
        raise RouterError(ResultCode.INVALID_IDEMPOTENCY_KEY)
    return key


def first_attempt(http_request: web.Request) -> bool:
    """Return whether the caller declares that its key was not used before."""
    return http_request.headers.get("X-First-Attempt", "").lower() == "true"


def _may_have_predecessor(http_request: web.Request) -> bool:
    """Return whether an earlier call may have had the same idempotency key."""
    has_key = "Idempotency-Key" in http_request.headers
    return has_key and not first_attempt(http_request)


def truthful_error(error: RouterError, http_request: web.Request) -> RouterError:
    """Return an error whose "not run" becomes "unknown" where it must.

    An error that was made without the record of its key can't exclude that an
    earlier call with the key ran.
    """
    if error.execution is not Execution.NOT_RUN or error.code in CODES_BASED_ON_RECORD:
        return error
    if not _may_have_predecessor(http_request):
        return error
    note = "An earlier call with this key may have run."
    return RouterError(
        error.code,
        f"{error.detail} {note}".strip(),
        retry_after_s=error.retry_after_s,
        execution=Execution.UNKNOWN,
    )
