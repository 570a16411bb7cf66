"""The pages for operators on call name only existing modules, functions, files, imports and log events."""

from __future__ import annotations

import ast
import importlib
import re
from collections.abc import Iterator
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent.parent
PACKAGE = ROOT / "kelpcroft"
ARCHITECTURE = ROOT / "docs/architecture.md"
GLOSSARY = ROOT / "docs/glossary.md"
LOG_PAGE = ROOT / "docs/operators/log.md"
ON_CALL = ROOT / "docs/operators/on-call.md"

QUALIFIED = re.compile(r"([a-z_]+(?:\.[a-z_]+)*):([A-Za-z_][\w.]*)")  # module:function or module:Class.method
DOTTED = re.compile(r"[a-z_]+(?:\.[a-z_]+)+")  # a module, a log event or a setting's key
CLASS_NAME = re.compile(r"[A-Z][a-z]\w*(?:\.\w+)*")  # a class, or one of its methods, without its module
FILE_PATH = re.compile(r"[\w-]+(?:/[\w.-]+)*(?:/|\.(?:py|md|toml|kdl|json))")
LINK = re.compile(r"\]\(([^)#]+)(?:#[^)]*)?\)")
LOG_EVENT = re.compile(r"[a-z_]+\.[a-z_]+")
EVENT_WRITERS = {
    "log",
    "note",
    "LogEvent",
    "WriteLogEvent",
}  # functions and classes whose first argument is the name of a log event
OUTSIDE_KELPCROFT = {"testbed", "tools", "benchmarks", "tests"}


def backticked(page: Path) -> list[str]:
    """Return the texts in backticks on a page, without those in drawings."""
    lines = [line for line in page.read_text().splitlines() if not line.startswith("    ")]
    return re.findall(r"`([^`\n]+)`", "\n".join(lines))


def rows(page: Path, heading: str = "") -> list[list[str]]:
    """Return the cells of the tables of a page or of one section, without heads and separator lines."""
    text = page.read_text()
    if heading:
        text = text.split(f"## {heading}\n", 1)[1].split("\n## ", 1)[0]
    row_cells = [re.split(r"(?<!\\)\|", line)[1:-1] for line in text.splitlines() if line.startswith("|")]
    cells = [[cell.strip() for cell in row] for row in row_cells]
    row_pairs = zip(cells, [*cells[1:], []], strict=True)
    return [row for row, following in row_pairs if not is_separator(row) and not is_separator(following)]


def is_separator(row: list[str]) -> bool:
    """Return whether a row is the separator between a table's head and its body."""
    return bool(row) and all(set(cell) <= set("-: ") and cell for cell in row)


def module_path(name: str) -> str:
    """Return the full name of a module on the page; most modules are below ``kelpcroft``."""
    return name if name.split(".")[0] in OUTSIDE_KELPCROFT else f"kelpcroft.{name}"


def module_exists(name: str) -> bool:
    """Return whether a module or package of this name exists."""
    path = ROOT / module_path(name).replace(".", "/")
    return path.with_suffix(".py").exists() or (path / "__init__.py").exists()


def has_member(module: str, qualified: str) -> bool:
    """Return whether a module has this function, class or method; methods may be inherited."""
    member: object = importlib.import_module(module_path(module))
    for part in qualified.split("."):
        if not hasattr(member, part) and part not in getattr(member, "__annotations__", {}):
            return False
        member = getattr(member, part, None)
    return True


def trees() -> Iterator[ast.Module]:
    """Yield the syntax trees of all modules of the program."""
    for path in sorted(PACKAGE.rglob("*.py")):
        yield ast.parse(path.read_text())


def string_constants() -> set[str]:
    """Return all string constants of the program, which include log events and keys of settings."""
    return {
        node.value
        for tree in trees()
        for node in ast.walk(tree)
        if isinstance(node, ast.Constant) and isinstance(node.value, str)
    }


def class_members() -> dict[str, set[str]]:
    """Return all classes of the program by name, with the names that their bodies define."""
    members: dict[str, set[str]] = {}
    for tree in trees():
        for node in ast.walk(tree):
            if isinstance(node, ast.ClassDef):
                members.setdefault(node.name, set()).update(defined_in(node))
    return members


def defined_in(node: ast.ClassDef) -> Iterator[str]:
    """Yield the names of a class's methods, fields and members."""
    for child in node.body:
        if isinstance(child, ast.FunctionDef):
            yield child.name
        elif isinstance(child, ast.AnnAssign) and isinstance(child.target, ast.Name):
            yield child.target.id
        elif isinstance(child, ast.Assign):
            yield from (target.id for target in child.targets if isinstance(target, ast.Name))


def written_events() -> set[str]:
    """Return the names of all log events that the program writes."""
    names = set()
    for tree in trees():
        for node in ast.walk(tree):
            if isinstance(node, ast.Call) and node.args and isinstance(node.args[0], ast.Constant):
                called = (
                    node.func.attr if isinstance(node.func, ast.Attribute) else getattr(node.func, "id", "")
                )
                name = node.args[0].value
                if called in EVENT_WRITERS and isinstance(name, str) and LOG_EVENT.fullmatch(name):
                    names.add(name)
    return names


def imported_packages(path: Path) -> Iterator[str]:
    """Yield the packages and modules directly below ``kelpcroft`` that a file imports anywhere."""
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom) and node.module == "kelpcroft":
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module:
            yield from below_kelpcroft([node.module])
        elif isinstance(node, ast.Import):
            yield from below_kelpcroft([alias.name for alias in node.names])


def below_kelpcroft(modules: list[str]) -> list[str]:
    """Return the packages directly below ``kelpcroft`` of modules given by their full names."""
    return [name.split(".")[1] for name in modules if name.startswith("kelpcroft.")]


def imports_by_package() -> dict[str, set[str]]:
    """Return the other packages that each package or module directly below ``kelpcroft`` imports."""
    imports: dict[str, set[str]] = {}
    for path in sorted(PACKAGE.rglob("*.py")):
        own = path.relative_to(PACKAGE).parts[0].removesuffix(".py")
        imports.setdefault(own, set()).update(set(imported_packages(path)) - {own})
    return {name: imported for name, imported in imports.items() if not name.startswith("__init__")}


def test_architecture_page_names_functions_that_exist() -> None:
    named = [match.groups() for text in backticked(ARCHITECTURE) if (match := QUALIFIED.fullmatch(text))]
    missing = [
        f"{module}:{name}"
        for module, name in named
        if not module_exists(module) or not has_member(module, name)
    ]
    assert len(named) > 50
    assert not missing


def test_architecture_page_names_modules_that_exist() -> None:
    known = string_constants()
    dotted = [
        text for text in backticked(ARCHITECTURE) if DOTTED.fullmatch(text) and not FILE_PATH.fullmatch(text)
    ]
    assert [text for text in dotted if not module_exists(text) and text not in known] == []
    assert len(dotted) > 10


def test_architecture_page_names_classes_that_exist() -> None:
    classes = class_members()
    named = [text.split(".") for text in backticked(ARCHITECTURE) if CLASS_NAME.fullmatch(text)]
    assert [".".join(n) for n in named if n[0] not in classes or not set(n[1:]) <= classes[n[0]]] == []
    assert len(named) > 15


@pytest.mark.parametrize("page", [ARCHITECTURE, GLOSSARY, LOG_PAGE, ON_CALL], ids=lambda page: page.name)
def test_page_names_files_that_exist(page: Path) -> None:
    # A path that begins with a slash or a variable is an address, or a file on the router's machine.
    named = [text for text in backticked(page) if FILE_PATH.fullmatch(text) and "/" in text]
    linked = [link for link in LINK.findall(page.read_text()) if "://" not in link]
    assert [path for path in named if not (ROOT / path).exists() and not (PACKAGE / path).exists()] == []
    assert [link for link in linked if not (page.parent / link).exists()] == []


def test_packages_import_only_what_the_architecture_page_allows() -> None:
    table = {
        re.findall(r"`([^`]+)`", package)[0]: set(re.findall(r"`([^`]+)`", allowed))
        for package, allowed in rows(ARCHITECTURE, "Which package may import which")
    }
    imports = imports_by_package()
    assert sorted(table) == sorted(imports)
    assert {name: found - table[name] for name, found in imports.items() if found - table[name]} == {}


def test_glossary_terms_stand_where_the_glossary_says() -> None:
    """Each name in backticks in the column of the code's terms is a word in the files of its row."""
    missing = []
    table = rows(GLOSSARY)
    for _, terms, places in table:
        files = [found for place in re.findall(r"`([^`]+)`", places) for found in source_files(place)]
        text = "\n".join(path.read_text() for path in files)
        for term in re.findall(r"`([^`]+)`", terms):
            missing += [
                f"{term} in {places}" for word in re.findall(r"\w+", term) if not has_word(text, word)
            ]
    assert len(table) > 50
    assert not missing


def source_files(place: str) -> list[Path]:
    """Return the sources at a path, a file or a package, of the testbed or below ``kelpcroft``."""
    path = ROOT / place if place.startswith("testbed/") else PACKAGE / place
    return sorted(path.glob("*.py")) if path.is_dir() else [path]


def has_word(text: str, word: str) -> bool:
    """Return whether a text has a name as a word of its own."""
    return re.search(rf"\b{re.escape(word)}\b", text) is not None


def test_log_page_has_every_event_that_is_written() -> None:
    listed = {
        name for row in rows(LOG_PAGE, "Events") for name in re.findall(r"`([a-z_]+\.[a-z_]+)`", row[0])
    }
    assert listed == written_events()


def test_on_call_page_names_events_that_are_written() -> None:
    known = string_constants()
    dotted = [
        text for text in backticked(ON_CALL) if DOTTED.fullmatch(text) and not FILE_PATH.fullmatch(text)
    ]
    assert [text for text in dotted if text not in known] == []
    assert len(set(dotted) & written_events()) > 10
