"""Many real router processes with fault injection: builds, routers, relays, clients and a contract checker.

Start at ``RouterField``. This package may import the testbed and the standard library, but nothing of the
program.
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
