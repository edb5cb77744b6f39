"""Read the rule lists that operators write as JSON with comments."""

from __future__ import annotations

from expression import Error, Result

from bulrushstream import validation
from bulrushstream.coordination.rulecheck import check_config
from bulrushstream.state.config import FleetConfig
from bulrushstream.state.finding import Finding


def read_rules(
    text: str, source: str
) -> Result[FleetConfig, tuple[Finding, ...]]:
    """Parse and check a rule list with its workspaces and services.

    :param text: The text, JSON with comments.
    :param source: The file's name, for findings.
    :returns: The configuration, or every finding, sorted by position.
    """
    return validation.read(text, source, FleetConfig, check_config)


def read_rule_file(path: str) -> Result[FleetConfig, tuple[Finding, ...]]:
    """Read, parse and check a rule file.

    :param path: The file's name.
    :returns: The configuration, or every finding, sorted by position.
    """
    loaded = validation.load_text(path)
    if loaded.is_error():
        return Error(loaded.error)
    return read_rules(loaded.ok, path)
