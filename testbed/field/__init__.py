"""Many real router processes with fault injection: builds, routers, relays, clients and a contract checker.

Start at ``RouterField``. This package may import the testbed and the standard library, but nothing of the
program.
"""

from testbed.field.builds import build_program
from testbed.field.contract import ContractChecker
from testbed.field.datagrams import DatagramFaults, DatagramRelay
from testbed.field.field import RouterField
from testbed.field.load import ClientLoad
from testbed.field.node import RouterNode
from testbed.field.relay import LinkMode, Relay

__all__ = [
    "ClientLoad",
    "ContractChecker",
    "DatagramFaults",
    "DatagramRelay",
    "LinkMode",
    "Relay",
    "RouterField",
    "RouterNode",
    "build_program",
]
