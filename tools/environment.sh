# Sets PYTHON to one that has all that requirements.txt names: the caller's, else one in .venv, made if need be.
has_all() {
    "$1" - 2>/dev/null <<'CHECK'
from importlib.metadata import version
for line in open("requirements.txt"):
    name, _, wanted = line.strip().partition("==")
    assert version(name.partition("[")[0]) == wanted
CHECK
}
PYTHON="$(command -v python3 || true)"
if ! { test -n "$PYTHON" && has_all "$PYTHON"; }; then
    PYTHON="$PWD/.venv/bin/python"
    if ! { test -x "$PYTHON" && has_all "$PYTHON"; }; then
        echo "making the environment in .venv" >&2
        python3 -m venv .venv
        "$PYTHON" -m pip -q install -r requirements.txt
    fi
fi
