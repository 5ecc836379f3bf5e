"""Tracking of the request that last used each token of a flow."""

from __future__ import annotations

import dataclasses

from persimmonhinge.flows import exchange as exchange_module
from persimmonhinge.flows import port

_Key = tuple[port.Flow, bytes]


@dataclasses.dataclass(slots=True)
class _Use:
    """The uses of one token of a flow.

    Attributes:
        latest: The latest request with this token.
        former_fingerprints: Fingerprints of the earlier requests with this
            token.
    """

    latest: exchange_module.Exchange
    former_fingerprints: set[bytes] = dataclasses.field(default_factory=set)


class TokenUses:
    """Detects reused tokens, which show that the caller received the reply.

    Callers may use a token again once they have received the reply to it (RFC
    7252 section 5.3.1). A copy of that reply that is sent later could be
    matched to the caller's next request.
    """

    def __init__(self) -> None:
        self._uses: dict[_Key, _Use] = {}

    def record_request(
        self, exchange: exchange_module.Exchange
    ) -> exchange_module.Exchange | None:
        """Records a new request.

        Returns:
            The previous request with the same token, if a reply to it was
            sent and the new request isn't a late copy of an even earlier one;
            otherwise None.
        """
        key = (exchange.flow, exchange.token)
        use = self._uses.get(key)
        if use is None:
            self._uses[key] = _Use(exchange)
            return None
        if exchange.fingerprint in use.former_fingerprints:
            return None
        previous = use.latest
        use.latest = exchange
        if previous.fingerprint == exchange.fingerprint:
            return None
        use.former_fingerprints.add(previous.fingerprint)
        return previous if previous.reply is not None else None

    def remove_request(self, exchange: exchange_module.Exchange) -> None:
        """Removes a request whose reply is no longer stored."""
        key = (exchange.flow, exchange.token)
        use = self._uses.get(key)
        if use is None:
            return
        use.former_fingerprints.discard(exchange.fingerprint)
        if use.latest is exchange:
            del self._uses[key]
