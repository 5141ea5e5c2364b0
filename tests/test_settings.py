"""Settings and configuration documents are checked before anything starts."""

from __future__ import annotations

import copy
import json
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from pytest_bdd import given as given_step
from pytest_bdd import parsers, scenarios, then, when

from ramppost.settings import check_config_doc, check_file
from ramppost.standin.fleet import MESOB, build

scenarios("features/settings.feature")

EXAMPLES = Path(__file__).parents[1] / "examples"


class SettingsCheck:
    """A settings file and the exit code and error lines of a command that read it."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.code = 0
        self.lines: list[str] = []

    def run(self, *args: str) -> None:
        command = [sys.executable, "-m", "ramppost", *args]
        done = subprocess.run(command, capture_output=True, text=True, timeout=30, check=False)
        self.code, self.lines = done.returncode, done.stderr.strip().splitlines()


def settings_with_change(change: str) -> str:
    """Returns the settings of an entry with a change, as text."""
    cfg: dict[str, Any] = copy.deepcopy(dict(build(MESOB).entries["entry-1"]))
    if change == "not JSON":
        return "{ // a comment\n  program: "
    if change.startswith("without "):
        del cfg[json.loads(change.removeprefix("without "))]
        return json.dumps(cfg)
    name, _, value = change.removeprefix("unknown key ").partition(" = ")
    *parents, last = json.loads(name).split(".")
    parent = cfg
    for part in parents:
        parent = parent[part]
    parent[last] = json.loads(value)
    return json.dumps(cfg)


@given_step(parsers.parse("the settings of an entry with {change}"), target_fixture="checked")
def faulty(tmp_path: Path, change: str) -> SettingsCheck:
    path = tmp_path / "entry.json"
    path.write_text(settings_with_change(change))
    return SettingsCheck(path)


@when("they are checked")
def check(checked: SettingsCheck) -> None:
    checked.run("check-config", str(checked.path))


@when("the entry is started with them")
def start(checked: SettingsCheck) -> None:
    checked.run("entry", "--settings", str(checked.path))


@then(parsers.parse("the exit code is {code:d}"))
def exit_code(checked: SettingsCheck, code: int) -> None:
    assert checked.code == code


@then(parsers.parse('one line names the file, "{path}" and "{mend}"'))
def one_line(checked: SettingsCheck, path: str, mend: str) -> None:
    named = [x for x in checked.lines if str(checked.path) in x and path in x and mend in x]
    assert len(named) == 1 and len(checked.lines) == 1, checked.lines


@pytest.mark.parametrize("path", sorted(EXAMPLES.glob("*/*.json")), ids=lambda p: str(p.name))
def test_every_example_is_valid(path: Path) -> None:
    assert check_file(path) == []


def test_dangling_names_are_reported() -> None:
    doc: Any = build(MESOB).doc
    doc["policies"][0]["models"] = ["huge"]
    doc["workspaces"][0]["policies"] = [{"policy": "none", "share": 1}]
    doc["classes"].append(doc["classes"][0])
    faults = check_config_doc(doc)
    assert [f.partition(":")[0] for f in faults] == [
        "$.policies[0].models[0]",
        "$.workspaces[0].policies[0]",
        "$.classes",
    ]


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(),
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.text(), inner, max_size=4),
    max_leaves=12,
)
KEYS = st.sampled_from([*build(MESOB).entries["entry-1"], "other"])


def test_documents_of_a_plan_are_independent() -> None:
    """Changing a built document must not affect later ones: when tests ran in another order than by
    name, the documentation's examples had been settings_with_change by the test above."""
    doc = build(MESOB).doc
    doc["classes"].append(doc["classes"][0])
    assert len(build(MESOB).doc["classes"]) == len(doc["classes"]) - 1


@settings(
    max_examples=60,
    deadline=None,
    derandomize=True,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)
@given(key=KEYS, value=JSON)
def test_no_value_of_a_setting_crashes_the_check(tmp_path: Path, key: str, value: Any) -> None:
    path = tmp_path / "entry.json"
    path.write_text(json.dumps(dict(build(MESOB).entries["entry-1"]) | {key: value}))
    for line in check_file(path):
        assert line.startswith(f"{path}: $")


@settings(
    max_examples=60,
    deadline=None,
    derandomize=True,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)
@given(text=st.text())
def test_no_text_crashes_the_check(tmp_path: Path, text: str) -> None:
    path = tmp_path / "any.json"
    path.write_text(text, encoding="utf-8", errors="surrogatepass")
    assert check_file(path)
