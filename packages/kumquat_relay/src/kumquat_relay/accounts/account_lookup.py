"""Finds the client account of a request in the configuration in force.

Load pattern: requests wait in queues for seconds and are sent again, while new
versions of the configuration move keys between accounts or remove them. The
account is therefore looked up when a request has been read and again before
each send, and only the latest configuration is asked.
"""

from collections.abc import Callable

from ..caller_request import CallerRequest
from ..protocols import SenderIdentity
from ..routes import Route, RouteTable
from .client_accounts import ApiKey, ClientAccount

__all__ = ["AccountLookup", "UnknownKeyError", "no_accounts"]


class UnknownKeyError(Exception):
    """No client account holds the key of a request, or it has none."""


class AccountLookup:
    """Looks up accounts; ``routes`` returns the configuration in force."""

    def __init__(self, routes: Callable[[], RouteTable | None]) -> None:
        self._routes = routes

    def account_of(self, route: Route, key: ApiKey | None) -> ClientAccount | None:
        """Return the account of a request that has just been read.

        None if its route is anonymous or no accounts are configured. Raises
        ``UnknownKeyError``.
        """
        routes = self._routes()
        if routes is None or routes.accounts is None or route.anonymous:
            return None
        account = routes.accounts.holder(key)
        if account is None:
            raise UnknownKeyError
        return account

    def check(self, request: CallerRequest) -> None:
        """Raise ``UnknownKeyError`` if a request must not be sent any more."""
        self.account_of(request.route, request.metadata.api_key)

    def holds_key(self, request: CallerRequest) -> bool:
        """Return whether a request may be sent as far as its key goes."""
        try:
            self.check(request)
        except UnknownKeyError:
            return False
        return True

    def identity_of(self, request: CallerRequest) -> SenderIdentity | None:
        """Return what engines are told about the sender of a request.

        None if no accounts are configured. A request that was read while there
        were accounts, or whose key was removed since it was checked, keeps the
        account that it had, so that its key is never forwarded.
        """
        try:
            account = self.account_of(request.route, request.metadata.api_key)
        except UnknownKeyError:
            account = request.account
        if account is None and request.account is None and not self._has_accounts():
            return None
        account = account or request.account
        if account is None:
            return SenderIdentity()
        priority = account.priority
        if priority is None:
            priority = request.route.priority
        return SenderIdentity(account.name, priority)

    def _has_accounts(self) -> bool:
        routes = self._routes()
        return routes is not None and routes.accounts is not None


def no_accounts() -> AccountLookup:
    """Return the lookup of a host without a configuration."""
    return AccountLookup(lambda: None)
