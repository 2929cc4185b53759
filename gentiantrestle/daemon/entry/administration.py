"""Routes of operators."""

from gentiantrestle.daemon.configuration.admin import Proposal
from gentiantrestle.daemon.configuration.document import KINDS, validate
from gentiantrestle.daemon.entry.routes import OPERATOR, route
from gentiantrestle.daemon.entry.service import Entry, Visit
from gentiantrestle.daemon.membership.view import Member, State
from gentiantrestle.errors import BAD_REQUEST, Refusal, RefusedError, refuse
from gentiantrestle.http.messages import Response, json_response

MAX_CONFIG = 1024 * 1024  # bytes
REVISION = 'revision'


@route('GET', '/admin/config', OPERATOR)
async def show_config(entry: Entry, visit: Visit) -> Response:
    """Show the configuration that is in force here."""
    fleet = entry.parts.configuration.fleet
    shown = {kind: fleet[kind] for kind in KINDS}
    return json_response({REVISION: fleet['revision'], **shown})


@route('PUT', '/admin/config', OPERATOR)
async def apply_config(entry: Entry, visit: Visit) -> Response:
    """Put a configuration in force; its revision is what it is based on."""
    document = await visit.req.read_json(MAX_CONFIG)
    based_on = document.get(REVISION)
    if not isinstance(based_on, int):
        raise refuse(BAD_REQUEST, 'The field "revision" is no whole number')
    applied = await entry.parts.admin.apply(Proposal(document, based_on))
    if isinstance(applied, Refusal):
        raise RefusedError(applied)
    return json_response({REVISION: applied['revision']})


@route('POST', '/admin/check', OPERATOR)
async def check_config(entry: Entry, visit: Visit) -> Response:
    """Check a configuration and change nothing."""
    document = await visit.req.read_json(MAX_CONFIG)
    problems = [problem._asdict() for problem in validate(document)]
    return json_response({'problems': problems})


@route('GET', '/admin/history/{revision}', OPERATOR)
async def show_history(entry: Entry, visit: Visit) -> Response:
    """Show an earlier configuration."""
    text = visit.fields[REVISION]
    if not text.isdigit():
        raise refuse(BAD_REQUEST, f'{text!r} is no revision')
    return json_response(await entry.parts.admin.recall(int(text)))


@route('GET', '/admin/status', OPERATOR)
async def show_status(entry: Entry, visit: Visit) -> Response:
    """Show what this instance knows of itself and of the fleet."""
    parts = entry.parts
    now = parts.ctx.now()
    alive = set(parts.membership.view.names(now))
    return json_response(
        {
            'instance': parts.ctx.cfg.instance,
            'zone': parts.ctx.cfg.zone,
            'ready': entry.ready,
            'config_revision': parts.configuration.fleet['revision'],
            'config_age': parts.ctx.wall() - parts.configuration.applied_at,
            'store_reachable': parts.store.reachable,
            'relay': parts.configuration.is_relay(),
            'waiting': parts.online.admission.waiting,
            'members': [
                _describe(member, member.instance in alive)
                for member in parts.membership.view.members()
            ],
            'upstreams': parts.fleet.describe(now),
        }
    )


def _describe(member: Member, alive: bool) -> dict[str, object]:
    return {
        'instance': member.instance,
        'zone': member.zone,
        'state': State(member.state).name.lower(),
        'alive': alive,
        'config_revision': member.config_revision,
    }
