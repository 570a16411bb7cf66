"""Many real router processes with faults between them: builds, routers, relays, clients, and a watch."""

from testbed.field.builds import build
from testbed.field.datagrams import Datagrams, Fate
from testbed.field.field import Field, Load, Node
from testbed.field.relay import Mode, Relay
from testbed.field.watch import Watch

__all__ = ["Datagrams", "Fate", "Field", "Load", "Mode", "Node", "Relay", "Watch", "build"]
