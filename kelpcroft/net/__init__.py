"""Sockets and codecs.  Nothing here decides anything: see kelpcroft/reducer.py."""
