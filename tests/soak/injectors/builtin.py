"""Registers all injectors."""

from __future__ import annotations

from tests.soak.injectors import hostile  # noqa: F401
from tests.soak.injectors import hosts  # noqa: F401
from tests.soak.injectors import packets  # noqa: F401
from tests.soak.injectors import peers  # noqa: F401
from tests.soak.injectors import store  # noqa: F401
from tests.soak.injectors import upstreams  # noqa: F401
