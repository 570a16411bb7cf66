"""What a route lets a request cost: which route takes it, its budgets, its recent answers, how many are open.

Pure: time is an argument, chance a seeded generator, and no socket, file or log is touched.  The reducer owns
the one ``Table``; what it grants reaches the decision module as frozen bounds.
"""

from kelpcroft.routes.table import RequestAllowance, RouteTable

__all__ = ["RequestAllowance", "RouteTable"]
