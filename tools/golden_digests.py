"""Write the golden digests to standard output as JSON (tests/golden/test_golden_digests.py).

    python tools/golden_digests.py > tests/golden/digests.json

The digests in the repository were made at commit 5862b4a, before the names in the program were changed.  They
must not be regenerated to make a test pass: a different digest means that the output of a router has changed.
A commit that changes behaviour on purpose states which digests it renews, and why.
"""

from __future__ import annotations

import json
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent))

from tests.support.wire_capture import KINDS


def main() -> None:
    """Print the digests of all kinds of runs and their seeds."""
    digests = {kind: {str(seed): run(seed).hex() for seed in seeds} for kind, (run, seeds) in KINDS.items()}
    print(json.dumps(digests, indent=2))


if __name__ == "__main__":
    main()
