"""Fleet-wide purges: what is purged, in one order that all routers agree on, and the floors that follow.
Pure.
"""
