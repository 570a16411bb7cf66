"""What lasts on a disk where there is one, and the names by which a process is known.

Pure but for ``rollouts`` and for reading the program's own files.  Of the rest of kelpcroft it imports only
the record of a rollout's history.  Start reading at ``handover``:

- ``handover``: the small file under ``$TMPDIR`` that one process of a router leaves for the next;
- ``identity``: digests of a process's program, settings and operator's file;
- ``rollouts``: the database of rollouts, for the command only.
"""
