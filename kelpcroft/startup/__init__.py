"""Startup of a process: its limits while its predecessor runs, or while hundreds of other routers start too.

Pure: no I/O; times are arguments.  Imports the settings and statistics of the decision package, nothing else
of kelpcroft.  ``kelpcroft.core`` uses all of it; start reading at ``options``, which lists the
operator's settings:

- ``options``: the settings for a start in the operator's file;
- ``restart_overlap``: two processes of one router share one budget for cold servers;
- ``fleet_size``: the actual number of routers, estimated from the reports of caches;
- ``origin_concurrency``: how many fetches a router may have in flight to the origin while it starts;
- ``crash_loop_backoff``: a router that restarts repeatedly waits before it sends the list service a request.
"""

from kelpcroft.startup.options import StartupOptions
from kelpcroft.startup.restart_overlap import RestartOverlap

__all__ = ["RestartOverlap", "StartupOptions"]
