"""Finds the hosts that can be asked."""

from __future__ import annotations

import dataclasses
import logging

import pydantic

from persimmonhinge import errors
from persimmonhinge.settings import ctl
from persimmonhinge.store import keys
from persimmonhinge.store import port

logger = logging.getLogger(__name__)


class ListedHost(pydantic.BaseModel):
    """A host in the platform's list, which lags behind.

    Attributes:
        host: Its name.
        domain: Its failure domain.
        address: Its IP address.
        metrics_port: TCP port of its HTTP pages, None if the list lacks it.
        state: `live` or `leaving`.
    """

    model_config = pydantic.ConfigDict(extra="ignore", frozen=True)

    host: str
    domain: str
    address: str
    metrics_port: int | None = None
    state: str = "live"


@dataclasses.dataclass(frozen=True)
class HostTarget:
    """A host to ask.

    Attributes:
        url: Base URL of its pages, None if unknown.
        listed: Its entry in the platform's list, None if it has none.
        seen: Its name, if only other hosts told of it.
    """

    url: str | None
    listed: ListedHost | None = None
    seen: str = ""

    @property
    def name(self) -> str:
        """Its name, or its URL while only that is known."""
        if self.listed:
            return self.listed.host
        return self.seen or str(self.url)


async def find_hosts(
    settings: ctl.CtlSettings, platform: port.Platform
) -> list[HostTarget]:
    """Returns the hosts of the settings and of the platform's list.

    While the platform is down those of the settings have to do.

    Raises:
        PlatformError: The platform failed, and the settings name no host.
    """
    try:
        listed = await _read_list(settings, platform)
    except errors.PlatformError as error:
        if not settings.hosts:
            raise
        logger.warning("The platform's host list can't be read: %s.", error)
        listed = []
    targets = [HostTarget(_make_url(host), host) for host in listed]
    known = {target.url for target in targets}
    targets += [HostTarget(url) for url in settings.hosts if url not in known]
    return targets


async def _read_list(
    settings: ctl.CtlSettings, platform: port.Platform
) -> list[ListedHost]:
    prefix = settings.platform.prefix + keys.HOSTS
    state = await platform.get_prefix(prefix)
    listed = []
    for pair in state.values:
        try:
            listed.append(ListedHost.model_validate_json(pair.value))
        except pydantic.ValidationError:
            logger.warning("Entry %s of the host list can't be read.", pair.key)
    return listed


def _make_url(host: ListedHost) -> str | None:
    if host.metrics_port is None:
        return None
    address = f"[{host.address}]" if ":" in host.address else host.address
    return f"http://{address}:{host.metrics_port}"
