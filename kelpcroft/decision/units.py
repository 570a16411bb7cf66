"""Units of time in the decision package, as integer nanoseconds."""

from __future__ import annotations

from typing import Final

MS: Final = 1_000_000
SECOND_NS: Final = 1_000 * MS
