"""The interface of the platform's host list and its HTTP client.

An odd entry is left out, or kept as it was if it was known; the others hold.
It is logged once until it can be read again.
"""

import logging
from dataclasses import dataclass
from typing import Annotated, Any, Protocol, TypeVar

import aiohttp
from pydantic import BaseModel, Field, ValidationError

from .configuration import ServerState
from .http_client import request_json
from .log_events import log_event
from .result_codes import ResultCode, RouterError

__all__ = ["HostList", "HostListClient", "HttpHostListClient", "ListedHost"]


MAX_PORT = 65535
MAX_TEXT_CHARACTERS = 200
# Entries that are logged for one list; the rest may have the same cause.
MAX_LOGGED = 10

Text = Annotated[
    str, Field(min_length=1, max_length=MAX_TEXT_CHARACTERS, pattern=r"^[^\x00-\x20]+$")
]

logger = logging.getLogger(__name__)


class _HostModel(BaseModel):
    host_id: Text
    address: Text
    peer_port: Annotated[int, Field(ge=0, le=MAX_PORT, strict=True)]
    failure_domain: Text
    region: Text
    state: ServerState


class _ServerModel(BaseModel):
    id: Text
    state: ServerState


EntryT = TypeVar("EntryT", bound=BaseModel)


@dataclass(frozen=True)
class ListedHost:
    """An entry host as the platform lists it."""

    host_id: str
    ip: str
    peer_port: int
    failure_domain: str
    region: str
    state: ServerState


@dataclass(frozen=True)
class HostList:
    """Entry hosts, and the states of backend servers by server id."""

    hosts: tuple[ListedHost, ...]
    backend_states_by_id: dict[str, ServerState]


class HostListClient(Protocol):
    """Operations of the host list that the router uses."""

    async def fetch(self) -> HostList:
        """Return the current list, which lags behind the real state."""


class HttpHostListClient:
    """Client of the host list over HTTP."""

    def __init__(
        self, session: aiohttp.ClientSession, base_url: str, timeout_s: float
    ) -> None:
        self._session = session
        self._url = base_url.rstrip("/") + "/hosts"
        self._timeout_s = timeout_s
        # The last entries by id, and the problems that are logged.
        self._hosts_by_id: dict[str, _HostModel] = {}
        self._servers_by_id: dict[str, _ServerModel] = {}
        self._problems: set[str] = set()

    async def fetch(self) -> HostList:
        """Return the current list.

        Raises ``STORE_UNAVAILABLE`` when the platform sends no valid
        response.
        """
        status, document = await request_json(
            self._session,
            "GET",
            self._url,
            timeout_s=self._timeout_s,
            error_code=ResultCode.STORE_UNAVAILABLE,
        )
        if status != 200:
            detail = f"host list answered status {status}"
            raise RouterError(ResultCode.STORE_UNAVAILABLE, detail)
        problems: list[str] = []
        self._hosts_by_id = _parse_entries(
            _HostModel, "host_id", document, "hosts", self._hosts_by_id, problems
        )
        self._servers_by_id = _parse_entries(
            _ServerModel,
            "id",
            document,
            "backend_servers",
            self._servers_by_id,
            problems,
        )
        self._log_problems(problems)
        hosts = tuple(
            ListedHost(
                host_id=item.host_id,
                ip=item.address,
                peer_port=item.peer_port,
                failure_domain=item.failure_domain,
                region=item.region,
                state=item.state,
            )
            for item in self._hosts_by_id.values()
        )
        states = {key: item.state for key, item in self._servers_by_id.items()}
        return HostList(hosts, states)

    def _log_problems(self, problems: list[str]) -> None:
        """Log the problems that the last list did not have."""
        kept = problems[:MAX_LOGGED]
        for problem in kept:
            if problem not in self._problems:
                log_event(
                    logger,
                    "listed_entry_unreadable",
                    level=logging.WARNING,
                    problem=problem,
                    count=len(problems),
                )
        self._problems = set(kept)


def _parse_entries(
    model: type[EntryT],
    id_field: str,
    document: Any,
    name: str,
    known: dict[str, EntryT],
    problems: list[str],
) -> dict[str, EntryT]:
    """Return the entries of a list by id; add what is odd to ``problems``.

    Raises ``STORE_UNAVAILABLE`` if there is no list.
    """
    items = document.get(name) if isinstance(document, dict) else None
    if not isinstance(items, list):
        raise RouterError(ResultCode.STORE_UNAVAILABLE, f"no list of {name}")
    entries: dict[str, EntryT] = {}
    for item in items:
        try:
            entry = model.model_validate(item)
        except ValidationError as error:
            entry_id = item.get(id_field) if isinstance(item, dict) else None
            if not isinstance(entry_id, str):
                entry_id = ""
            problems.append(_describe(name, entry_id, error))
            if entry_id in known:
                entries[entry_id] = known[entry_id]
        else:
            entries[getattr(entry, id_field)] = entry
    return entries


def _describe(name: str, entry_id: str, error: ValidationError) -> str:
    """Return the first problem of an entry, without the value."""
    item = error.errors(include_url=False, include_input=False)[0]
    path = ".".join(str(part) for part in item["loc"])
    return f"{name} {entry_id[:MAX_TEXT_CHARACTERS]!a} {path}: {item['msg']}"
