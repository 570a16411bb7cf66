"""A change in stages: the plan and its check (``plan``), the judgement of new against old (``judge``), and
the state machine that obeys both (``stages``).  Pure: no file, socket, clock or random source."""
