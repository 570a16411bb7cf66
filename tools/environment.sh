# Sets PYTHON to an interpreter that has the packages of requirements.txt in the listed versions: the caller's
# python3 if it has them, otherwise that of .venv, which is created if it lacks them.
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
        echo "creating the virtual environment in .venv" >&2
        python3 -m venv .venv
        "$PYTHON" -m pip -q install -r requirements.txt
    fi
fi
