"""Data that processes store where they have a disk, and digests that identify a process.

The package performs no I/O except in ``rollouts`` and where ``identity`` reads the program's own files.  From
the rest of kelpcroft it imports only the types of a rollout's history entries and snapshots.  Start reading
at ``handover``:

- ``handover``: the small file under ``$TMPDIR`` that a process of a router leaves for its successor;
- ``identity``: digests of a process's program, settings and operator's file;
- ``rollouts``: the database of rollouts, which only the command line uses.
"""
