"""Many real router processes with faults between them: builds, routers, relays, clients, and a checker.

Start at ``RouterField``; may import the testbed and the standard library, and of the program nothing.
"""

from testbed.field.builds import build_program
from testbed.field.datagrams import DatagramFate, DatagramRelay
from testbed.field.field import RouterField
from testbed.field.load import ClientLoad
from testbed.field.node import RouterNode
from testbed.field.relay import LinkMode, Relay
from testbed.field.watch import ContractChecker

__all__ = [
    "ClientLoad",
    "ContractChecker",
    "DatagramFate",
    "DatagramRelay",
    "LinkMode",
    "Relay",
    "RouterField",
    "RouterNode",
    "build_program",
]
