"""Commands on batch jobs, and single requests."""

import hashlib
import sys
from pathlib import Path

from gentiantrestle.cli.configuration import InputError
from gentiantrestle.cli.registry import Session, command
from gentiantrestle.library import Jobs


@command('complete MODEL PROMPT', 'Print the answer to a prompt as it comes.')
def complete(session: Session, model: str, prompt: str) -> None:
    """Print an answer as it comes."""
    tokens = session.option('max_tokens')
    for text in Jobs(session.conn).complete(model, prompt, tokens):
        sys.stdout.write(text)
        sys.stdout.flush()
    sys.stdout.write('\n')


@command('jobs submit FILE', 'Submit a file of JSON lines as a job.')
def submit_job(session: Session, path: str) -> None:
    """Submit a file; sent twice, it is one job."""
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
    session.printer.document(job)


@command('jobs list', 'List the jobs of the account.')
def list_jobs(session: Session) -> None:
    """List the account's jobs."""
    session.printer.table(Jobs(session.conn).list())


@command('jobs show JOB', 'Show how far a job is.')
def show_job(session: Session, job: str) -> None:
    """Show how far a job is."""
    session.printer.document(Jobs(session.conn).show(job))


@command('jobs follow JOB', 'Watch a job until it ends.')
def follow_job(session: Session, job: str) -> None:
    """Watch a job until it ends."""
    session.printer.progress(Jobs(session.conn).follow(job))


@command('jobs results JOB', 'Print the results that there are.')
def read_results(session: Session, job: str) -> None:
    """Print the results as JSON lines."""
    for part in Jobs(session.conn).results(job):
        sys.stdout.buffer.write(part)
    sys.stdout.buffer.flush()


@command('jobs cancel JOB', 'Cancel a job for good.')
def cancel_job(session: Session, job: str) -> None:
    """Cancel a job for good."""
    session.printer.document(Jobs(session.conn).cancel(job))
