"""How a process begins: what it may do while it knows little, beside the one that it follows and beside
hundreds that begin with it.  Pure."""

from kelpcroft.startup.options import StartupOptions
from kelpcroft.startup.restart_overlap import RestartOverlap

__all__ = ["StartupOptions", "RestartOverlap"]
