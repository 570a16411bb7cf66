"""Measurements, each repeated by one command, each a ratio within one run.  Figures are in docs/design."""
