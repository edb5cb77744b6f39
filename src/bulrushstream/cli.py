"""The command-line interface.

A usage error prints one line on standard error and exits with code 2.
Otherwise the exit code is the return value of the command.
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
    "suspects": operate.suspects,
    "where": operate.where,
}


@dataclass(frozen=True, slots=True)
class _Call:
    """A parsed command with its arguments, not yet run."""

    command: Command
    positional: tuple[Any, ...]
    keywords: Mapping[str, Any]

    def __dir__(self) -> list[str]:
        """Return no members, so that Fire rejects surplus arguments."""
        return []


def main(arguments: list[str] | None = None) -> None:
    """Run a command and exit with its code.

    :param arguments: the arguments after the program's name; None: those of
        the process
    """
    sys.exit(run(sys.argv[1:] if arguments is None else arguments))


def run(arguments: list[str]) -> int:
    """Run a command.

    :param arguments: the arguments after the program's name
    :returns: the exit code
    """
    if not arguments or arguments[0] in ("-h", "--help", "help"):
        print(_overview())
        return 0 if arguments else USAGE_EXIT
    try:
        call = _parse(arguments)
    except FireExit as stop:
        if not stop.code:
            return 0
        return _print_usage_error(str(stop.trace.elements[-1]))
    if not isinstance(call, _Call):
        return _print_usage_error(
            f"{' '.join(arguments)} needs one of: {_names(call)}"
        )
    return _run(call)


def _parse(arguments: list[str]) -> object:
    """Parse the arguments into a `_Call` without running the command.

    Fire runs a command before it finds surplus arguments.  Therefore it gets
    functions that only record their arguments.
    """
    # Fire prints several lines on a usage error; `run` prints one instead.
    silent = io.StringIO()
    wants_help = any(word in ("-h", "--help") for word in arguments)
    target = sys.stderr if wants_help else silent
    with contextlib.redirect_stderr(target):
        result: object = fire.Fire(
            _recorders(COMMANDS),
            command=arguments,
            name=PROGRAM,
            serialize=lambda _: None,
        )
    return result


def _recorders(commands: Commands) -> dict[str, Any]:
    """Replace each command by a function that records its arguments."""
    return {
        name: _recorders(item)
        if isinstance(item, Mapping)
        else _recorder(item)
        for name, item in commands.items()
    }


def _recorder(command: Command) -> Callable[..., _Call]:
    """Return a recorder with the signature and the help of a command."""

    @functools.wraps(command)
    def record(*positional: Any, **keywords: Any) -> _Call:
        return _Call(command, positional, keywords)

    return record


def _run(call: _Call) -> int:
    """Validate the arguments of a call and run it."""
    bound = inspect.signature(call.command).bind(
        *call.positional, **call.keywords
    )
    check = validate_call(config=ConfigDict(coerce_numbers_to_str=True))
    try:
        return check(call.command)(*bound.args, **bound.kwargs) or 0
    except ValidationError as error:
        details = error.errors()[0]
        location = ".".join(str(part) for part in details["loc"])
        return _print_usage_error(f"{location}: {details['msg']}")
    except SystemExit as stop:
        return stop.code if isinstance(stop.code, int) else USAGE_EXIT
    except KeyboardInterrupt:
        return INTERRUPTED_EXIT


def _print_usage_error(reason: str) -> int:
    """Print a usage error as one line and return its exit code."""
    print(f"{PROGRAM}: {reason}; see {PROGRAM} --help", file=sys.stderr)
    return USAGE_EXIT


def _names(group: object) -> str:
    """Return the names of a group's commands, comma-separated."""
    return ", ".join(group) if isinstance(group, Mapping) else "nothing"


def _overview() -> str:
    """Return the usage with one line for each command."""
    lines = [f"usage: {PROGRAM} COMMAND [ARGUMENTS]", ""]
    for name, item in sorted(COMMANDS.items()):
        if isinstance(item, Mapping):
            for subcommand, command in item.items():
                lines.append(_line(f"{name} {subcommand}", command))
        else:
            lines.append(_line(name, item))
    lines += ["", f"{PROGRAM} COMMAND --help tells more of a command."]
    return "\n".join(lines)


def _line(name: str, command: Command) -> str:
    """Return a command's name and the first line of its help."""
    summary = (command.__doc__ or "").partition("\n")[0]
    return f"  {name:18} {summary}"
