"""Retuning on SIGHUP: a configuration read again is checked whole (``check``), and what it changes is taken
up in two steps (``plan``).  Pure: no file, socket or clock."""

from kelpcroft.retune.check import Fault, check, decode
from kelpcroft.retune.plan import PASSAGE_NS, Change, difference, passage, settled

__all__ = ["PASSAGE_NS", "Change", "Fault", "check", "decode", "difference", "passage", "settled"]
