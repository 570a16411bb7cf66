"""What a deployment's configuration says: every key that is known, what is wrong with it, and what it lacks.
Pure: no file, socket or clock."""

from kelpcroft.deployment.check import Finding, check
from kelpcroft.deployment.lacks import lacks

__all__ = ["Finding", "check", "lacks"]
