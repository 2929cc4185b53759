"""Commands for the configuration, status and reports."""

import sys
from pathlib import Path
from typing import Any

import msgspec

from gentiantrestle.cli.registry import Session, command
from gentiantrestle.library import Draft, Operator
from gentiantrestle.library.draft import KINDS


class InputError(Exception):
    """The input of a command is unusable; the message names the remedy."""


@command('status', 'Show the instance, its peers and upstreams.')
def show_status(session: Session) -> None:
    """Print the status of the fleet as the instance sees it."""
    session.printer.print_document(_make_operator(session).status())


@command('report SCOPE', 'Show service-level burn: fleet, zone or instance.')
def show_report(session: Session, scope: str) -> None:
    """Print burn rates, jobs at risk and instances without an answer."""
    report = _make_operator(session).report(scope)
    session.printer.print_table(report['rows'])
    session.printer.print_table(report['jobs'])
    if report['missing']:
        session.printer.print_document({'missing': report['missing']})


@command('config show', 'Show the configuration in force.')
def show_config(session: Session) -> None:
    """Print the configuration in force."""
    session.printer.print_document(_make_operator(session).config())


@command('config history REVISION', 'Show an earlier configuration.')
def show_history(session: Session, revision: str) -> None:
    """Print an earlier configuration."""
    if not revision.isdigit():
        raise InputError(f'{revision!r} is not a revision; give a number.')
    session.printer.print_document(
        _make_operator(session).recall(int(revision))
    )


@command('config check FILE', 'List every problem of a configuration file.')
def check_config(session: Session, path: str) -> None:
    """Print every problem of a configuration file."""
    problems = _make_operator(session).check(_read_document(path))
    session.printer.print_table(problems)


@command('config diff FILE', 'Show what a configuration file would change.')
def show_difference(session: Session, path: str) -> None:
    """Print what a configuration file would change."""
    draft = _draft_from_file(_make_operator(session), path)
    session.printer.print_difference(draft.difference())


@command('config apply FILE', 'Show the difference, confirm and apply a file.')
def apply_config(session: Session, path: str) -> None:
    """Apply a file, unless the revision that was compared has changed."""
    operator = _make_operator(session)
    _confirm_and_apply(session, operator, _draft_from_file(operator, path))


@command('list KIND', 'List upstreams, deployments, endpoints or clients.')
def list_entries(session: Session, kind: str) -> None:
    """Print the entries of one kind."""
    entries = _make_operator(session).config()[_check_kind(kind)]
    rows = [
        {'name': name, 'settings': entry}
        for name, entry in sorted(entries.items())
    ]
    session.printer.print_table(rows)


@command('set KIND NAME SETTINGS', 'Set one entry, given as a JSON object.')
def set_entry(session: Session, kind: str, name: str, text: str) -> None:
    """Set one entry after printing the difference and confirming it."""
    operator = _make_operator(session)
    draft = operator.draft().put(
        _check_kind(kind), name, _parse_object(text, name)
    )
    _confirm_and_apply(session, operator, draft)


@command('remove KIND NAME', 'Remove one entry.')
def remove_entry(session: Session, kind: str, name: str) -> None:
    """Remove one entry after printing the difference and confirming it."""
    operator = _make_operator(session)
    draft = operator.draft().remove(_check_kind(kind), name)
    _confirm_and_apply(session, operator, draft)


def _make_operator(session: Session) -> Operator:
    return Operator(session.conn)


def _confirm_and_apply(
    session: Session, operator: Operator, draft: Draft
) -> None:
    session.printer.print_difference(draft.difference())
    if not session.option('yes') and not _confirm():
        raise InputError('Nothing was applied; answer "y" or use --yes.')
    session.printer.print_document({'revision': operator.apply(draft)})


def _confirm() -> bool:
    if not sys.stdin.isatty():
        return False
    sys.stderr.write('Apply? [y/N] ')
    sys.stderr.flush()
    return sys.stdin.readline().strip().lower() == 'y'


def _draft_from_file(operator: Operator, path: str) -> Draft:
    draft = operator.draft()
    document = _read_document(path)
    for kind in KINDS:
        draft.document[kind] = document.get(kind, {})
    for name in set(document) - set(KINDS) - {'revision'}:
        draft.document[name] = document[name]
    return draft


def _check_kind(kind: str) -> str:
    if kind not in KINDS:
        kinds = ', '.join(KINDS)
        raise InputError(f'{kind!r} is not a kind; use one of {kinds}.')
    return kind


def _read_document(path: str) -> dict[str, Any]:
    try:
        text = Path(path).read_text()
    except (OSError, UnicodeDecodeError) as exc:
        raise InputError(f'{path} is not readable: {exc}.') from exc
    return _parse_object(text, path)


def _parse_object(text: str, origin: str) -> dict[str, Any]:
    try:
        return msgspec.json.decode(text, type=dict[str, Any])
    except msgspec.DecodeError as exc:
        raise InputError(f'{origin} is not a JSON object: {exc}.') from exc
