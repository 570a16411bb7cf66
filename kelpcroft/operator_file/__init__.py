"""The operator's file: from KDL 2 to a typed and checked model that records the line of every value.

Owns the grammar and the rules of the file, and those of a control replica's file, which is read the same
way.  ``load`` parses the bytes of a file.  ``check`` checks the model against the settings of a deployment.
Both return all diagnostics at once, and neither raises an exception for any content of a file.  Opens no
socket, reads a file only in ``read_bytes``, and uses no state of a running router.

Start reading at ``model`` (the contents of a file), then ``reader`` (parsing) and ``check`` (the rules).
"""

from kelpcroft.operator_file.check import check, load
from kelpcroft.operator_file.diagnostics import Diagnostic
from kelpcroft.operator_file.model import OperatorFile

__all__ = ["Diagnostic", "OperatorFile", "check", "load"]
