"""The command line.

A wrong use gives one line on standard error and exit code 2.  A command's
own return value is the exit code.
"""

from __future__ import annotations

import contextlib
import functools
import inspect
import io
import sys
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any, Final, TypeAlias

import fire
from fire.core import FireExit
from pydantic import ConfigDict, ValidationError, validate_call

from bulrushstream.commands import measure, operate, reference, rules, standin
from bulrushstream.commands.check import check
from bulrushstream.commands.daemons import agent, router
from bulrushstream.commands.demo import demo
from bulrushstream.commands.explain import explain
from bulrushstream.commands.load import load

PROGRAM: Final = "bulrushstream"
USAGE_EXIT: Final = 2
INTERRUPTED_EXIT: Final = 130

Command: TypeAlias = Callable[..., int | None]
Commands: TypeAlias = Mapping[str, "Command | Mapping[str, Command]"]

COMMANDS: Final[Commands] = {
    "agent": agent,
    "check": check,
    "demo": demo,
    "explain": explain,
    "load": load,
    "measure": {
        "claims": measure.claims,
        "path": measure.path,
        "rollout": measure.rollout,
        "scenario": measure.scenario,
        "slopes": measure.slopes,
    },
    "quarantine": {
        "lift": operate.quarantine_lift,
        "list": operate.quarantine_list,
    },
    "reference": {
        "errors": reference.errors,
        "settings": reference.settings,
    },
    "router": router,
    "rules": {
        "check": rules.check,
        "diff": rules.diff,
        "publish": rules.publish,
        "show": rules.show,
    },
    "standin": {
        "engine": standin.engine,
        "instances": standin.instances,
        "log": standin.log,
        "service": standin.service,
    },
    "status": operate.status,
}


@dataclass(frozen=True, slots=True)
class _Call:
    """A command with its arguments, not yet run."""

    command: Command  # What to run.
    given: tuple[Any, ...]  # Arguments by place.
    named: Mapping[str, Any]  # Arguments by name.

    def __dir__(self) -> list[str]:
        """Offer no member: words that are left over are an error."""
        return []


def main(arguments: list[str] | None = None) -> None:
    """Run a command and exit with its code.

    :param arguments: the words after the program's name; None: the
        process's own
    """
    sys.exit(run(sys.argv[1:] if arguments is None else arguments))


def run(words: list[str]) -> int:
    """Run a command.

    :param words: the words after the program's name
    :returns: the exit code
    """
    if not words or words[0] in ("-h", "--help", "help"):
        print(_overview())
        return 0 if words else USAGE_EXIT
    try:
        call = _parse(words)
    except FireExit as stop:
        if not stop.code:
            return 0
        return _complain(str(stop.trace.elements[-1]))
    if not isinstance(call, _Call):
        return _complain(f"{' '.join(words)} needs one of: {_names(call)}")
    return _run(call)


def _parse(words: list[str]) -> object:
    """Return the call that the words ask for; nothing is run yet.

    Fire runs a command before it finds that words are left over, so it is
    given stand-ins that only note their arguments.
    """
    # Fire prints several lines on a wrong use; one of ours replaces them.
    silent = io.StringIO()
    wants_help = any(word in ("-h", "--help") for word in words)
    target = sys.stderr if wants_help else silent
    with contextlib.redirect_stderr(target):
        result: object = fire.Fire(
            _noting(COMMANDS),
            command=words,
            name=PROGRAM,
            serialize=lambda _: None,
        )
    return result


def _noting(commands: Commands) -> dict[str, Any]:
    """Return the commands with stand-ins that note their arguments."""
    return {
        name: _noting(item) if isinstance(item, Mapping) else _note(item)
        for name, item in commands.items()
    }


def _note(command: Command) -> Callable[..., _Call]:
    """Return a stand-in with the signature and the help of a command."""

    @functools.wraps(command)
    def noted(*given: Any, **named: Any) -> _Call:
        return _Call(command, given, named)

    return noted


def _run(call: _Call) -> int:
    """Check a call's arguments and run it."""
    bound = inspect.signature(call.command).bind(*call.given, **call.named)
    check = validate_call(config=ConfigDict(coerce_numbers_to_str=True))
    try:
        return check(call.command)(*bound.args, **bound.kwargs) or 0
    except ValidationError as error:
        finding = error.errors()[0]
        place = ".".join(str(part) for part in finding["loc"])
        return _complain(f"{place}: {finding['msg']}")
    except SystemExit as stop:
        return stop.code if isinstance(stop.code, int) else USAGE_EXIT
    except KeyboardInterrupt:
        return INTERRUPTED_EXIT


def _complain(why: str) -> int:
    """Say in one line what is wrong with the words."""
    print(f"{PROGRAM}: {why}; see {PROGRAM} --help", file=sys.stderr)
    return USAGE_EXIT


def _names(group: object) -> str:
    """Return the names in a group of commands."""
    return ", ".join(group) if isinstance(group, Mapping) else "nothing"


def _overview() -> str:
    """Return a line for each command."""
    lines = [f"usage: {PROGRAM} COMMAND [ARGUMENTS]", ""]
    for name, item in sorted(COMMANDS.items()):
        if isinstance(item, Mapping):
            for part, command in item.items():
                lines.append(_line(f"{name} {part}", command))
        else:
            lines.append(_line(name, item))
    lines += ["", f"{PROGRAM} COMMAND --help tells more of a command."]
    return "\n".join(lines)


def _line(name: str, command: Command) -> str:
    """Return a command's name and the first line of its help."""
    summary = (command.__doc__ or "").partition("\n")[0]
    return f"  {name:18} {summary}"
