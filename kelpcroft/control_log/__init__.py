"""The control log: the list of servers and the purges, replicated and handed on to routers.  Pure: no I/O.

``log`` holds the compacted state and the tail of a log, ``follower`` judges what an answer of one replica or
another means for who follows the log, ``sources`` picks the replica to call, and ``replica`` is the state
machine of a control replica.
"""
