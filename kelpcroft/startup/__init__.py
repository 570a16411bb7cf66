"""How a process begins: what it may do beside the one that it follows and hundreds that begin with it.

Pure: no I/O; times are arguments.  Imports the settings and statistics of the decision code, nothing else of
kelpcroft.  ``kelpcroft.core`` uses all of it; start reading at ``options``, which says what an operator may
ask for:

- ``options``: what the operator's file says of a start;
- ``restart_overlap``: two processes of one router share one budget for cold servers;
- ``fleet_size``: how many routers there really are, by what caches report;
- ``origin_concurrency``: how many fetches a router may have out at the origin while it begins;
- ``crash_loop_backoff``: a router that starts again and again waits before it calls the list service.
"""

from kelpcroft.startup.options import StartupOptions
from kelpcroft.startup.restart_overlap import RestartOverlap

__all__ = ["RestartOverlap", "StartupOptions"]
