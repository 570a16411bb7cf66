"""The operator's routes at run time: finds the route of a request and the limits that it sets.

Owns the retry budgets, the quantiles of recent latencies and the counts of open requests.  Pure: time is an
argument, randomness comes from a seeded generator, and no socket, file or log is used.  Imports only the
operator file's model and the decision package's interface.  The reducer owns the only ``RouteTable``; the
limits of a request reach the decision package as a frozen policy.  Compiled with mypyc as a group of its own,
as none of it is loaded without an operator's file.

Start reading at ``table``.
"""

from kelpcroft.routes.table import RequestAllowance, RouteTable

__all__ = ["RequestAllowance", "RouteTable"]
