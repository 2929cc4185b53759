"""Commands for batch jobs and single requests."""

import hashlib
import sys
from pathlib import Path

from gentiantrestle.cli.configuration import InputError
from gentiantrestle.cli.registry import Session, command
from gentiantrestle.library import Jobs


@command('complete MODEL PROMPT', 'Stream the answer to a prompt.')
def complete(session: Session, model: str, prompt: str) -> None:
    """Print the parts of an answer as they arrive."""
    tokens = session.option('max_tokens')
    for text in Jobs(session.conn).complete(model, prompt, tokens):
        sys.stdout.write(text)
        sys.stdout.flush()
    sys.stdout.write('\n')


@command('jobs submit FILE', 'Submit a file of JSON lines as a job.')
def submit_job(session: Session, path: str) -> None:
    """Submit a file as a job; submitting it again returns the same job."""
    try:
        lines = Path(path).read_bytes()
    except OSError as exc:
        raise InputError(f'{path} is not readable: {exc}.') from exc
    key = session.option('idempotency_key')
    job = Jobs(session.conn).submit(
        lines,
        key or hashlib.sha256(lines).hexdigest(),
        session.option('window'),
    )
    session.printer.print_document(job)


@command('jobs list', 'List the jobs of the client account.')
def list_jobs(session: Session) -> None:
    """Print the jobs of the client account."""
    session.printer.print_table(Jobs(session.conn).list())


@command('jobs show JOB', 'Show the status of a job.')
def show_job(session: Session, job: str) -> None:
    """Print the status of a job."""
    session.printer.print_document(Jobs(session.conn).show(job))


@command('jobs follow JOB', 'Watch a job until it ends.')
def follow_job(session: Session, job: str) -> None:
    """Print the progress of a job until it ends."""
    session.printer.print_progress(Jobs(session.conn).follow(job))


@command('jobs results JOB', 'Print the available results of a job.')
def read_results(session: Session, job: str) -> None:
    """Print the available results as JSON lines."""
    for part in Jobs(session.conn).results(job):
        sys.stdout.buffer.write(part)
    sys.stdout.buffer.flush()


@command('jobs cancel JOB', "Cancel a job; it can't be resumed.")
def cancel_job(session: Session, job: str) -> None:
    """Cancel a job and print its status."""
    session.printer.print_document(Jobs(session.conn).cancel(job))
