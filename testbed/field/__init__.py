"""Many real router processes with faults between them: builds, routers, relays, clients, and a watch."""

from testbed.field.builds import build_program
from testbed.field.datagrams import DatagramFate, DatagramRelay
from testbed.field.field import ClientLoad, RouterField, RouterNode
from testbed.field.relay import LinkMode, Relay
from testbed.field.watch import ContractChecker

__all__ = [
    "DatagramRelay",
    "DatagramFate",
    "RouterField",
    "ClientLoad",
    "LinkMode",
    "RouterNode",
    "Relay",
    "ContractChecker",
    "build_program",
]
