"""Discovery: how a router learns which servers there are.

Owns the schedule of calls to the list service, the view of a list that comes in parts or from doubtful
sources, and the time-outs of a watch.  Pure: imports no socket, file or clock.  Start reading at
``schedule``.
"""
