from __future__ import annotations

from collections.abc import AsyncIterator

import pytest_asyncio
from serving_site import ServingSite


@pytest_asyncio.fixture
async def site() -> AsyncIterator[ServingSite]:
    started = await ServingSite.start()
    yield started
    await started.close()
