"""The operator's file: KDL 2 to a typed, checked model in which every value knows its line.

Owns the file's grammar and rules, and the files of control replicas, which are read the same way.  ``load``
reads a file's bytes, ``check`` checks the model in a deployment, by its settings; both return diagnostics,
all of them at once, and neither raises for anything that a file may hold.  Opens no socket, reads a
file only in ``read_bytes``, and knows no state of a running router.

Start reading at ``model`` (what a file says), then ``reader`` (how it is read) and ``check`` (what is
refused).
"""

from kelpcroft.operator_file.check import check, load
from kelpcroft.operator_file.diagnostics import Diagnostic
from kelpcroft.operator_file.model import OperatorFile

__all__ = ["Diagnostic", "OperatorFile", "check", "load"]
