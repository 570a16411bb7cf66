"""How a process begins: what it may do while it knows little, beside the one that it follows and beside
hundreds that begin with it.  Pure."""

from kelpcroft.start.begin import Begin
from kelpcroft.start.beside import Beside

__all__ = ["Begin", "Beside"]
