"""Errors in the bytes received from a peer."""

from __future__ import annotations


class ProtocolError(ValueError):
    """Bytes that are not a valid message of the peer's protocol; the text gives the reason."""
