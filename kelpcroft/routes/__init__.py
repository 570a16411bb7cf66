"""The operator's routes in service: which route takes a request, and what that lets it cost.

Owns the retry budgets, the quantiles of recent answers and the counts of open requests.  Pure: time is an
argument, chance a seeded generator, and no socket, file or log is touched.  Imports the operator file's
model and the decision module's interface only.  The reducer owns the one ``RouteTable``; what it grants
reaches the decision package as a frozen policy.  Compiled with mypyc as a group of its own, as nothing of it
is loaded without an operator's file.

Start reading at ``table``.
"""

from kelpcroft.routes.table import RequestAllowance, RouteTable

__all__ = ["RequestAllowance", "RouteTable"]
