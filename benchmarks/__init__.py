"""Benchmarks. One command repeats each of them, and each result is a ratio within one run.

The figures are in docs/design.
"""
