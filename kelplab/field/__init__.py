"""Many real router processes with faults between them: builds, routers, relays, clients, and a watch."""

from kelplab.field.builds import build
from kelplab.field.field import Field, Load, Node
from kelplab.field.relay import Relay

__all__ = ["Field", "Load", "Node", "Relay", "build"]
