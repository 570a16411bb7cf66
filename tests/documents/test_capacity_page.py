"""docs/CAPACITY.md is generated from docs/capacity/page.md and the measurements next to it."""

from __future__ import annotations

import json
import unittest

from benchmarks.capacity import page

FIELDS = {"sweep", "by", "commit", "rounds", "command", "machine", "rows", "slopes"}


class Page(unittest.TestCase):
    def test_the_page_is_as_generated(self) -> None:
        """After a change of a text or a measurement, regenerate it: python -m benchmarks.capacity --page"""
        assert page.PAGE.read_text() == page.generate()

    def test_each_measurement_has_its_fields_and_ordered_figures(self) -> None:
        paths = sorted(page.FOLDER.glob("*.json"))
        assert len(paths) >= 5
        for path in paths:
            measurement = json.loads(path.read_text())
            assert set(measurement) == FIELDS, path.name
            assert measurement["rounds"] >= 1
            for row in measurement["rows"]:
                for name, figure in row["figures"].items():
                    assert figure["least"] <= figure["median"], (path.name, name)
                    assert figure["median"] <= figure["most"], (path.name, name)


if __name__ == "__main__":
    unittest.main()
