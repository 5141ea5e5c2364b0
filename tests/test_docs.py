"""Documentation, examples and generated code agree with the code."""

from __future__ import annotations

import re
import shutil
import subprocess
from pathlib import Path

import pytest

from bench.capacity import page
from ramppost.standin.fleet import MESOB, TOLL, build
from ramppost.standin.write_examples import write_fleet
from tools.write_reference import OPERATORS, PAGES

ROOT = Path(__file__).parents[1]
DOCS = ROOT / "docs"


@pytest.mark.parametrize("name", sorted(PAGES))
def test_reference_pages_match_the_code(name: str) -> None:
    assert (OPERATORS / name).read_text() == PAGES[name](), "run `make docs`"


def test_the_capacity_page_follows_from_the_slopes() -> None:
    text = (DOCS / "CAPACITY.md").read_text()
    assert page(text) == text, "run `make capacity`"


@pytest.mark.parametrize(("name", "plan"), [("mesob", MESOB), ("toll", TOLL)])
def test_examples_match_the_code(name: str, plan, tmp_path: Path) -> None:
    titles = {"mesob": "Mesob Kitchen Commons", "toll": "the Toll Network"}
    write_fleet(tmp_path / name, build(plan), titles[name])
    for path in (tmp_path / name).iterdir():
        assert path.read_text() == (ROOT / "examples" / name / path.name).read_text(), path.name


def test_generated_types_match_the_schemas(tmp_path: Path) -> None:
    tools = str(ROOT / ".venv" / "bin")
    if shutil.which("datamodel-codegen", path=tools) is None:
        pytest.skip("the generator is not installed")
    command = ["sh", str(ROOT / "ramppost" / "schema" / "generate.sh"), str(tmp_path)]
    subprocess.run(command, check=True, env={"PATH": f"{tools}:/usr/bin:/bin"}, capture_output=True)
    for path in tmp_path.glob("*.py"):
        assert path.read_text() == (ROOT / "ramppost" / "schema" / path.name).read_text()


def test_every_link_in_the_docs_has_a_target() -> None:
    for path in [*DOCS.rglob("*.md"), ROOT / "README.md"]:
        for target in re.findall(r"\]\(([^)#]+)\)", path.read_text()):
            assert (path.parent / target).exists(), f"{path}: {target}"


def test_every_proof_names_a_test_that_exists() -> None:
    named = set(re.findall(r"`(tests/[a-z_]+\.py)`", (DOCS / "PROOFS.md").read_text()))
    assert named and all((ROOT / name).exists() for name in named)
