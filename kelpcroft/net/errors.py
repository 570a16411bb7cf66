"""What goes wrong with bytes from a peer."""

from __future__ import annotations


class ProtocolError(ValueError):
    """Bytes that are no message of the peer's protocol; the text says why."""
