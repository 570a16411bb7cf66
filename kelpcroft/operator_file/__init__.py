"""The operator's file: KDL 2 to a typed, checked model in which every value knows its line.  Knows no socket.

``load`` reads a file's bytes, ``check`` holds the model against a deployment's settings; both return faults,
all of them at once, and neither raises for anything that a file may hold.
"""

from kelpcroft.operator_file.check import check, load
from kelpcroft.operator_file.diagnostics import Diagnostic
from kelpcroft.operator_file.model import OperatorFile

__all__ = ["Diagnostic", "OperatorFile", "check", "load"]
