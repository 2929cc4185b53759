"""Commands on the configuration and its kinds."""

import sys
from pathlib import Path
from typing import Any

import msgspec

from gentiantrestle.cli.registry import Session, command
from gentiantrestle.library import Draft, Operator
from gentiantrestle.library.draft import KINDS


class InputError(Exception):
    """What was given can't be used; the message names the remedy."""


@command('status', 'Show the instance, its peers and upstreams.')
def show_status(session: Session) -> None:
    """Show what the instance knows."""
    session.printer.document(_operator(session).status())


@command('report SCOPE', 'Show service-level burn: fleet, zone or instance.')
def show_report(session: Session, scope: str) -> None:
    """Show burn rates and jobs at risk."""
    report = _operator(session).report(scope)
    session.printer.table(report['rows'])
    session.printer.table(report['jobs'])
    if report['missing']:
        session.printer.document({'missing': report['missing']})


@command('config show', 'Show the configuration in force.')
def show_config(session: Session) -> None:
    """Show the configuration in force."""
    session.printer.document(_operator(session).config())


@command('config history REVISION', 'Show an earlier configuration.')
def show_history(session: Session, revision: str) -> None:
    """Show an earlier configuration."""
    if not revision.isdigit():
        raise InputError(f'{revision!r} is no revision; give a number.')
    session.printer.document(_operator(session).recall(int(revision)))


@command('config check FILE', 'List every problem of a configuration file.')
def check_config(session: Session, path: str) -> None:
    """List every problem of a file."""
    problems = _operator(session).check(_read(path))
    session.printer.table(problems)


@command('config diff FILE', 'Show what a configuration file would change.')
def show_difference(session: Session, path: str) -> None:
    """Show what a file would change."""
    draft = _draft(_operator(session), path)
    session.printer.difference(draft.difference())


@command('config apply FILE', 'Show the difference, ask, and apply a file.')
def apply_config(session: Session, path: str) -> None:
    """Put a file in force, under the revision that was shown."""
    operator = _operator(session)
    _apply(session, operator, _draft(operator, path))


@command('list KIND', 'List upstreams, deployments, endpoints or clients.')
def list_entries(session: Session, kind: str) -> None:
    """List the entries of one kind."""
    entries = _operator(session).config()[_kind(kind)]
    rows = [
        {'name': name, 'settings': entry}
        for name, entry in sorted(entries.items())
    ]
    session.printer.table(rows)


@command('set KIND NAME SETTINGS', 'Set one entry, given as a JSON object.')
def set_entry(session: Session, kind: str, name: str, text: str) -> None:
    """Set one entry after showing the difference."""
    operator = _operator(session)
    draft = operator.draft().put(_kind(kind), name, _parse(text, name))
    _apply(session, operator, draft)


@command('remove KIND NAME', 'Remove one entry.')
def remove_entry(session: Session, kind: str, name: str) -> None:
    """Remove one entry after showing the difference."""
    operator = _operator(session)
    draft = operator.draft().remove(_kind(kind), name)
    _apply(session, operator, draft)


def _operator(session: Session) -> Operator:
    return Operator(session.conn)


def _apply(session: Session, operator: Operator, draft: Draft) -> None:
    session.printer.difference(draft.difference())
    if not session.option('yes') and not _confirm():
        raise InputError('Nothing was applied; answer "y" or give --yes.')
    session.printer.document({'revision': operator.apply(draft)})


def _confirm() -> bool:
    if not sys.stdin.isatty():
        return False
    sys.stderr.write('Apply? [y/N] ')
    sys.stderr.flush()
    return sys.stdin.readline().strip().lower() == 'y'


def _draft(operator: Operator, path: str) -> Draft:
    draft = operator.draft()
    given = _read(path)
    for kind in KINDS:
        draft.document[kind] = given.get(kind, {})
    for name in set(given) - set(KINDS) - {'revision'}:
        draft.document[name] = given[name]
    return draft


def _kind(kind: str) -> str:
    if kind not in KINDS:
        known = ', '.join(KINDS)
        raise InputError(f'{kind!r} is no kind; use one of {known}.')
    return kind


def _read(path: str) -> dict[str, Any]:
    try:
        text = Path(path).read_text()
    except (OSError, UnicodeDecodeError) as exc:
        raise InputError(f'{path} is not readable: {exc}.') from exc
    return _parse(text, path)


def _parse(text: str, origin: str) -> dict[str, Any]:
    try:
        return msgspec.json.decode(text, type=dict[str, Any])
    except msgspec.DecodeError as exc:
        raise InputError(f'{origin} is no JSON object: {exc}.') from exc
